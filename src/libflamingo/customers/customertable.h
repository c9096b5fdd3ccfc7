#pragma once

#include "customers/customer.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace flamingo {

using CustomerPtr = std::shared_ptr<const Customer>;

/** Index of the customers by name and by API key. A plain value, used on one event loop. */
struct CustomerTable {
    bool m_requiresKeys = false; // requests need a key, except on public routes
    std::map<CustomerName, CustomerPtr> m_customers;
    std::unordered_map<ApiKeyDigest, CustomerPtr> m_holders; // by key
};

/** Replaces the customers. Those that are unchanged keep their pointers. Precondition: no two of them share a key. */
void replaceCustomers(CustomerTable& table, const std::map<CustomerName, Customer>& customers);

/** Returns the customer of that name, or null. */
CustomerPtr findCustomer(const CustomerTable& table, const CustomerName& name);

} // namespace flamingo
