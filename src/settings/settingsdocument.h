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

/// One table of a settings document; reads typed keys and notes a SettingsError for each fault.
/// A key that no read names is a fault once rejectUnknownKeys() runs. Not thread-safe; valid as long as its document.
class SettingsTable
{
public:
    /// The text under @p key, or @p fallback; without a fallback the key is required.
    std::string text(std::string_view key, std::optional<std::string> fallback = std::nullopt);
    /// The level of detail of logs under "log_level"; info when absent.
    std::string logLevel();
    /// The whole number under @p key within @p range; without a fallback the key is required.
    std::uint64_t number(std::string_view key, NumberRange range, std::optional<std::uint64_t> fallback = std::nullopt);
    /// The real number under @p key within @p range; without a fallback the key is required.
    double real(std::string_view key, RealRange range, std::optional<double> fallback = std::nullopt);
    /// The truth value under @p key.
    bool flag(std::string_view key, bool fallback);
    /// The list of texts under @p key; empty when absent.
    std::vector<std::string> texts(std::string_view key);
    /// The sub-table under @p key; nothing when absent or not a table.
    std::optional<SettingsTable> table(std::string_view key);
    /// The array of tables under @p key; empty when absent.
    std::vector<SettingsTable> tables(std::string_view key);
    /// Names of the sub-tables of this table, in the order of the alphabet. Marks them as known.
    std::vector<std::string> tableNames();
    /// Notes each key that no call above named.
    void rejectUnknownKeys();
    /// Notes a fault at @p key, or at the table itself when the key is absent.
    void reject(std::string_view key, std::string_view reason);
    /// Faults noted so far in the whole document.
    [[nodiscard]] std::size_t faults() const;
    /// Line of the table in its file.
    [[nodiscard]] std::uint32_t line() const;
    /// Line of @p key, or of the table itself when the key is absent.
    [[nodiscard]] std::uint32_t lineOf(std::string_view key) const;

private:
    friend class SettingsDocument;
    SettingsTable(SettingsDocument *document, const toml::table *node, std::string path);
    const toml::node *find(std::string_view key, bool required, std::string_view fallback);
    [[nodiscard]] std::string pathOf(std::string_view key) const;

    SettingsDocument *m_document;
    const toml::table *m_node;
    std::string m_path;
    std::set<std::string, std::less<>> m_known;
};

/// A parsed TOML document with the faults found in it. Not thread-safe.
class SettingsDocument
{
public:
    /// Parses @p text; a syntax fault is found in errors(). @p file is used in messages only.
    SettingsDocument(std::string_view text, std::string_view file);
    ~SettingsDocument();
    SettingsDocument(const SettingsDocument &) = delete;
    SettingsDocument &operator=(const SettingsDocument &) = delete;

    /// The outermost table; empty when the text could not be parsed.
    SettingsTable root();
    /// All faults noted so far, in the order they were found.
    [[nodiscard]] std::span<const SettingsError> errors() const;
    /// Notes a fault at @p line.
    void addError(std::uint32_t line, std::string reason);
    /// All faults, a line each.
    [[nodiscard]] std::string errorText() const;
    /// Settings that were asked for and do not stand in the document.
    [[nodiscard]] std::span<const AbsentSetting> absent() const;

private:
    friend class SettingsTable;

    std::string m_file;
    std::unique_ptr<toml::table> m_root;
    std::vector<SettingsError> m_errors;
    std::vector<AbsentSetting> m_absent;
};

}
