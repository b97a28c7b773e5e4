#pragma once

#include <filesystem>
#include <string>
#include <string_view>

namespace rosemaryshift::testing {

/// A new folder for temporary files, removed with its contents when the object is destroyed.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    /// Writes @p text to file @p name in the folder and returns its path.
    [[nodiscard]] std::string write(const std::string &name, std::string_view text) const;

private:
    std::filesystem::path m_path;
};

}
