#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::entry {

/// Interns names: assigns each one a dense id that never changes. Not thread-safe.
template <typename Id>
class NameTable
{
public:
    /// The id of @p name; assigned when the name is new.
    Id intern(std::string_view name)
    {
        const auto known = m_ids.find(name);
        if (known != m_ids.end()) {
            return known->second;
        }
        const Id id = static_cast<Id>(m_names.size());
        m_names.emplace_back(name);
        m_ids.emplace(name, id);
        return id;
    }

    /// The id of @p name; nothing when it was never interned.
    [[nodiscard]] std::optional<Id> find(std::string_view name) const
    {
        const auto known = m_ids.find(name);
        return known == m_ids.end() ? std::nullopt : std::optional<Id>(known->second);
    }

    /// The name with the id @p id. Precondition: intern() returned @p id.
    [[nodiscard]] const std::string &name(Id id) const
    {
        return m_names[static_cast<std::size_t>(id)];
    }

private:
    std::map<std::string, Id, std::less<>> m_ids;
    std::vector<std::string> m_names;
};

}
