#include "settings/settingsdocument.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <utility>

namespace rosemaryshift {

std::string SettingsError::text() const
{
    return file + ":" + std::to_string(line) + ": " + reason;
}

SettingsDocument::SettingsDocument(std::string_view text, std::string_view file)
    : m_file(file)
    , m_root(std::make_unique<toml::table>())
{
    try {
        *m_root = toml::parse(text, m_file);
    } catch (const toml::parse_error &error) {
        addError(error.source().begin.line, std::string(error.description()));
    }
}

SettingsDocument::~SettingsDocument() = default;

SettingsTable SettingsDocument::root()
{
    return SettingsTable(this, m_root.get(), {});
}

std::span<const SettingsError> SettingsDocument::errors() const
{
    return m_errors;
}

void SettingsDocument::addError(std::uint32_t line, std::string reason)
{
    m_errors.push_back({m_file, line, std::move(reason)});
}

std::span<const AbsentSetting> SettingsDocument::absent() const
{
    return m_absent;
}

std::string SettingsDocument::errorText() const
{
    std::string text;
    for (const SettingsError &error : m_errors) {
        text += error.text() + "\n";
    }
    return text;
}

SettingsTable::SettingsTable(SettingsDocument *document, const toml::table *node, std::string path)
    : m_document(document)
    , m_node(node)
    , m_path(std::move(path))
{
}

std::size_t SettingsTable::errorCount() const
{
    return m_document->errors().size();
}

std::uint32_t SettingsTable::line() const
{
    return m_node->source().begin.line;
}

std::uint32_t SettingsTable::lineOf(std::string_view key) const
{
    const toml::node *const node = m_node->get(key);
    return node == nullptr ? line() : node->source().begin.line;
}

std::string SettingsTable::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

const toml::node *SettingsTable::find(std::string_view key, bool required, std::string_view fallback)
{
    m_knownKeys.emplace(key);
    const toml::node *const node = m_node->get(key);
    if (node == nullptr) {
        m_document->m_absent.push_back({pathOf(key), std::string(fallback)});
    }
    if (node == nullptr && required) {
        reject(key, "is missing");
    }
    return node;
}

void SettingsTable::reject(std::string_view key, std::string_view reason)
{
    m_document->addError(lineOf(key), pathOf(key) + " " + std::string(reason));
}

std::string SettingsTable::text(std::string_view key, std::optional<std::string> fallback)
{
    const toml::node *const node = find(key, !fallback, fallback.value_or(""));
    if (node == nullptr) {
        return fallback.value_or("");
    }
    const std::optional<std::string> value = node->value_exact<std::string>();
    if (!value) {
        reject(key, "must be a text");
    }
    return value.value_or("");
}

std::string SettingsTable::logLevel()
{
    constexpr std::string_view Key = "log_level";
    constexpr std::array<std::string_view, 5> Levels{"trace", "debug", "info", "warn", "error"};
    const std::size_t errorsBefore = errorCount();
    const std::string level = text(Key, "info");
    if (errorCount() == errorsBefore && std::ranges::find(Levels, level) == Levels.end()) {
        reject(Key, "must be trace, debug, info, warn or error");
    }
    return level;
}

std::uint64_t SettingsTable::number(std::string_view key, NumberRange range, std::optional<std::uint64_t> fallback)
{
    const toml::node *const node = find(key, !fallback, fallback ? std::to_string(*fallback) : std::string());
    if (node == nullptr) {
        return fallback.value_or(range.min);
    }
    const std::optional<std::int64_t> value = node->value_exact<std::int64_t>();
    if (!value) {
        reject(key, "must be a whole number");
        return range.min;
    }
    if (*value < 0 || static_cast<std::uint64_t>(*value) < range.min || static_cast<std::uint64_t>(*value) > range.max) {
        reject(key, "must lie between " + std::to_string(range.min) + " and " + std::to_string(range.max));
        return range.min;
    }
    return static_cast<std::uint64_t>(*value);
}

double SettingsTable::real(std::string_view key, RealRange range, std::optional<double> fallback)
{
    const toml::node *const node = find(key, !fallback, fallback ? std::to_string(*fallback) : std::string());
    if (node == nullptr) {
        return fallback.value_or(range.min);
    }
    const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value) {
        reject(key, "must be a number");
        return range.min;
    }
    if (!(*value >= range.min && *value <= range.max)) {
        reject(key, "must lie between " + std::to_string(range.min) + " and " + std::to_string(range.max));
        return range.min;
    }
    return *value;
}

bool SettingsTable::flag(std::string_view key, bool fallback)
{
    const toml::node *const node = find(key, false, fallback ? "true" : "false");
    if (node == nullptr) {
        return fallback;
    }
    const std::optional<bool> value = node->value_exact<bool>();
    if (!value) {
        reject(key, "must be true or false");
    }
    return value.value_or(fallback);
}

std::vector<std::string> SettingsTable::texts(std::string_view key)
{
    std::vector<std::string> values;
    const toml::node *const node = find(key, false, "");
    if (node == nullptr) {
        return values;
    }
    const toml::array *const array = node->as_array();
    if (array == nullptr) {
        reject(key, "must be a list of texts");
        return values;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const toml::node &element = (*array)[i];
        const std::optional<std::string> value = element.value_exact<std::string>();
        if (!value) {
            reject(key, "must be a list of texts");
            return {};
        }
        values.push_back(*value);
    }
    return values;
}

std::optional<SettingsTable> SettingsTable::table(std::string_view key)
{
    const toml::node *const node = find(key, false, "");
    if (node == nullptr) {
        return std::nullopt;
    }
    if (node->as_table() == nullptr) {
        reject(key, "must be a table");
        return std::nullopt;
    }
    return SettingsTable(m_document, node->as_table(), pathOf(key));
}

std::vector<SettingsTable> SettingsTable::tables(std::string_view key)
{
    std::vector<SettingsTable> rows;
    const toml::node *const node = find(key, false, "");
    if (node == nullptr) {
        return rows;
    }
    const toml::array *const array = node->as_array();
    if (array == nullptr) {
        reject(key, "must be an array of tables");
        return rows;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const toml::table *const row = (*array)[i].as_table();
        if (row == nullptr) {
            reject(key, "must be an array of tables");
            return rows;
        }
        rows.push_back(SettingsTable(m_document, row, pathOf(key) + "[" + std::to_string(i) + "]"));
    }
    return rows;
}

std::vector<std::string> SettingsTable::tableNames()
{
    std::vector<std::string> names;
    for (const auto &[key, node] : *m_node) {
        if (node.is_table()) {
            names.emplace_back(key.str());
            m_knownKeys.emplace(key.str());
        }
    }
    return names;
}

void SettingsTable::rejectUnknownKeys()
{
    for (const auto &[key, node] : *m_node) {
        if (!m_knownKeys.contains(key.str())) {
            reject(key.str(), "is not a known setting");
        }
    }
}

}
