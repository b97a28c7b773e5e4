#pragma once

#include <filesystem>
#include <string>
#include <string_view>

namespace rosemaryshift::testing {

/// A folder that is removed when the object goes away.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    /// Writes a file and gives its path.
    [[nodiscard]] std::string write(const std::string &name, std::string_view text) const;

private:
    std::filesystem::path m_path;
};

}
