#pragma once

#include <cstddef>
#include <functional>
#include <sys/types.h>

namespace flamingo {

/** System calls of the storage that tests replace to simulate full and failing disks. Empty: the real call. */
struct StorageHooks {
    std::function<bool(int fileDescriptor)> m_sync;
    std::function<ssize_t(int fileDescriptor, const char* bytes, std::size_t size)> m_write;
};

} // namespace flamingo
