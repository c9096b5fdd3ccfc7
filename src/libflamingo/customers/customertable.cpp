#include "customers/customertable.h"

namespace flamingo {

namespace {

bool isSame(const Customer& a, const Customer& b)
{
    return a.m_name == b.m_name && a.m_keys == b.m_keys && a.m_priority == b.m_priority && a.m_quota == b.m_quota;
}

} // namespace

void replaceCustomers(CustomerTable& table, const std::map<CustomerName, Customer>& customers)
{
    std::map<CustomerName, CustomerPtr> next;
    table.m_holders.clear();
    for (const auto& [name, customer] : customers) {
        CustomerPtr entry = findCustomer(table, name);
        if (!entry || !isSame(*entry, customer))
            entry = std::make_shared<const Customer>(customer);
        for (const ApiKeyDigest& key : entry->m_keys)
            table.m_holders[key] = entry;
        next.emplace(name, std::move(entry));
    }
    table.m_customers = std::move(next);
}

CustomerPtr findCustomer(const CustomerTable& table, const CustomerName& name)
{
    const auto found = table.m_customers.find(name);
    return found == table.m_customers.end() ? nullptr : found->second;
}

} // namespace flamingo
