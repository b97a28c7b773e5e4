#pragma once

#include "settings/settingstypes.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace toml {
inline namespace v3 {
class table;
class node;
}
}

namespace rosemaryshift {

class SettingsDocument;

/// One table of a settings document; reads typed values by key and records a SettingsError for each faulty one.
/// rejectUnknownKeys() also records an error for each key that was not looked up before. Not thread-safe; valid as long as its document.
class SettingsTable
{
public:
    /// The string under @p key, or @p fallback; without a fallback the key is required.
    std::string text(std::string_view key, std::optional<std::string> fallback = std::nullopt);
    /// The log level under "log_level"; "info" when absent.
    std::string logLevel();
    /// The integer under @p key within @p range; without a fallback the key is required.
    std::uint64_t number(std::string_view key, NumberRange range, std::optional<std::uint64_t> fallback = std::nullopt);
    /// The floating-point number under @p key within @p range; without a fallback the key is required.
    double real(std::string_view key, RealRange range, std::optional<double> fallback = std::nullopt);
    /// The boolean under @p key, or @p fallback.
    bool flag(std::string_view key, bool fallback);
    /// The list of strings under @p key; empty when absent.
    std::vector<std::string> texts(std::string_view key);
    /// The sub-table under @p key; nothing when absent or not a table.
    std::optional<SettingsTable> table(std::string_view key);
    /// The array of tables under @p key; empty when absent.
    std::vector<SettingsTable> tables(std::string_view key);
    /// Names of the sub-tables of this table, in alphabetical order; rejectUnknownKeys() accepts them from then on.
    std::vector<std::string> tableNames();
    /// Records an error for each key that none of the calls above has named.
    void rejectUnknownKeys();
    /// Records an error at the line of @p key, or at the line of the table when the key is absent.
    void reject(std::string_view key, std::string_view reason);
    /// Number of errors recorded so far in the whole document.
    [[nodiscard]] std::size_t errorCount() const;
    /// Line number of the table in its file.
    [[nodiscard]] std::uint32_t line() const;
    /// Line number of @p key, or of the table when the key is absent.
    [[nodiscard]] std::uint32_t lineOf(std::string_view key) const;

private:
    friend class SettingsDocument;
    SettingsTable(SettingsDocument *document, const toml::table *node, std::string path);
    const toml::node *find(std::string_view key, bool required, std::string_view fallback);
    [[nodiscard]] std::string pathOf(std::string_view key) const;

    SettingsDocument *m_document;
    const toml::table *m_node;
    std::string m_path;
    std::set<std::string, std::less<>> m_knownKeys;
};

/// A parsed TOML document with the errors found in it. Not thread-safe.
class SettingsDocument
{
public:
    /// Parses @p text; a syntax error is recorded in errors(). @p file is used only in error messages.
    SettingsDocument(std::string_view text, std::string_view file);
    ~SettingsDocument();
    SettingsDocument(const SettingsDocument &) = delete;
    SettingsDocument &operator=(const SettingsDocument &) = delete;

    /// The outermost table; empty when the text could not be parsed.
    SettingsTable root();
    /// All errors recorded so far, in the order in which they were found.
    [[nodiscard]] std::span<const SettingsError> errors() const;
    /// Records an error at @p line.
    void addError(std::uint32_t line, std::string reason);
    /// All recorded errors, one per line.
    [[nodiscard]] std::string errorText() const;
    /// Settings that were looked up but are absent from the document, in the order in which they were looked up.
    [[nodiscard]] std::span<const AbsentSetting> absent() const;

private:
    friend class SettingsTable;

    std::string m_file;
    std::unique_ptr<toml::table> m_root;
    std::vector<SettingsError> m_errors;
    std::vector<AbsentSetting> m_absent;
};

}
