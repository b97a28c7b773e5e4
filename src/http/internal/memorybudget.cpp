#include "http/memorybudget.h"

#include <utility>

namespace rosemaryshift::http {

MemoryBudget::MemoryBudget(std::size_t limit)
    : m_limit(limit)
{
}

std::size_t MemoryBudget::used() const
{
    return m_used;
}

std::size_t MemoryBudget::limit() const
{
    return m_limit;
}

bool MemoryBudget::replace(std::size_t before, std::size_t after)
{
    if (after <= before) {
        m_used -= before - after;
        return true;
    }
    const std::size_t added = after - before;
    if (m_used.fetch_add(added) + added > m_limit) {
        m_used -= added;
        return false;
    }
    return true;
}

MemoryShare::MemoryShare(std::shared_ptr<MemoryBudget> budget)
    : m_budget(std::move(budget))
{
}

MemoryShare::~MemoryShare()
{
    release();
}

bool MemoryShare::resize(std::size_t bytes)
{
    if (m_budget && !m_budget->replace(m_bytes, bytes)) {
        return false;
    }
    m_bytes = bytes;
    return true;
}

void MemoryShare::release()
{
    if (m_budget) {
        m_budget->replace(m_bytes, 0);
    }
    m_bytes = 0;
}

}
