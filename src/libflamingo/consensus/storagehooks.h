#pragma once

#include <cstddef>
#include <functional>
#include <sys/types.h>

namespace flamingo {

/**
 * Replacements of system calls of the storage, with which tests simulate full and failing disks.
 *
 * If a function is empty, the system call is made.
 */
struct StorageHooks {
    std::function<bool(int fileDescriptor)> m_sync;
    std::function<ssize_t(int fileDescriptor, const char* bytes, std::size_t size)> m_write;
};

} // namespace flamingo
