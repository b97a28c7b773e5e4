#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::gateway {

/// Splits a stream of server-sent events at event boundaries, so that a partial event is never forwarded. Not thread-safe.
class EventSplitter
{
public:
    /// Adds the next bytes of the stream. Returns all bytes up to the end of the last complete event; empty when no event became complete.
    std::string push(std::string_view bytes);
    /// Whether the bytes after the last complete event exceed what a single event may have. The stream must not be read on then.
    [[nodiscard]] bool overflowed() const;
    /// Id of the last complete event that has one.
    [[nodiscard]] const std::optional<std::string> &lastId() const;
    /// Bytes after the last complete event.
    [[nodiscard]] const std::string &partialEvent() const;
    /// Whether the bytes so far end inside an event: something other than empty lines follows the last complete one.
    [[nodiscard]] bool insideEvent() const;
    /// Discards the bytes after the last complete event, since the upstream that resumes the stream sends that event from its start.
    void discardPartialEvent();

private:
    void updateLastId(std::string_view events);

    std::string m_partialEvent;
    std::optional<std::string> m_lastId;
};

}
