#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::gateway {

/// Cuts a stream of server-sent events into whole events, so that half of one is never passed on. Not thread-safe.
class EventSplitter
{
public:
    /// Takes the next bytes and returns those that end with a whole event; empty when there is none yet.
    std::string take(std::string_view bytes);
    /// Id of the last whole event that has one.
    [[nodiscard]] const std::optional<std::string> &lastId() const;
    /// Bytes behind the last whole event.
    [[nodiscard]] const std::string &rest() const;
    /// Forgets the bytes behind the last whole event: another upstream begins that event anew.
    void dropRest();

private:
    void noteIds(std::string_view events);

    std::string m_rest;
    std::optional<std::string> m_lastId;
};

}
