#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace rosemaryshift::http {

/// Bound on the bytes that requests and answers which are held at the same time may take up together. Thread-safe.
class MemoryBudget
{
public:
    /// @p limit: in bytes.
    explicit MemoryBudget(std::size_t limit);

    /// Number of bytes that are taken.
    [[nodiscard]] std::size_t used() const;
    /// Number of bytes that may be taken.
    [[nodiscard]] std::size_t limit() const;

private:
    friend class MemoryShare;

    /// Replaces @p before bytes by @p after. Returns false, and changes nothing, when more would be taken than the limit.
    bool replace(std::size_t before, std::size_t after);

    const std::size_t m_limit;
    std::atomic<std::size_t> m_used = 0;
};

/// What one request or answer takes of a budget; given back when the object is destroyed. Not thread-safe.
class MemoryShare
{
public:
    /// Without a @p budget, any number of bytes can be taken.
    explicit MemoryShare(std::shared_ptr<MemoryBudget> budget);
    ~MemoryShare();
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// Takes @p bytes in place of those taken before. Returns false, and keeps those, when the budget does not have so many left; fewer bytes than before are
    /// always granted.
    [[nodiscard]] bool resize(std::size_t bytes);
    /// Gives all bytes back.
    void release();

private:
    const std::shared_ptr<MemoryBudget> m_budget;
    std::size_t m_bytes = 0;
};

}
