#include "support/temporaryfolder.h"

#include "base/text.h"

#include <fstream>

namespace rosemaryshift::testing {

TemporaryFolder::TemporaryFolder()
    : m_path(std::filesystem::temp_directory_path() / ("rosemaryshift-" + randomId()))
{
    std::filesystem::create_directories(m_path);
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryFolder::write(const std::string &name, std::string_view text) const
{
    const std::filesystem::path path = m_path / name;
    std::ofstream(path) << text;
    return path.string();
}

}
