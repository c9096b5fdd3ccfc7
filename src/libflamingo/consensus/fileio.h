#pragma once

#include "base/reason.h"
#include "consensus/storagehooks.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

/** Owns a file descriptor and closes it. Thread safety: one thread at a time. */
class FileHandle {
public:
    FileHandle() = default;
    explicit FileHandle(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    FileHandle(FileHandle&& other) noexcept
        : m_descriptor(other.m_descriptor)
    {
        other.m_descriptor = -1;
    }
    FileHandle& operator=(FileHandle&& other) noexcept;
    FileHandle(const FileHandle&) = delete;
    FileHandle& operator=(const FileHandle&) = delete;
    ~FileHandle();

    /** Returns the descriptor, or -1 if no file is open. */
    int descriptor() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

// Each of these fills the reason with StorageFailed, the path and the system's error text on failure.

/** Opens a file with open(2) flags; new files get mode 0600. */
FileHandle openFile(const std::string& path, int flags, Reason& reason);
/** Writes all bytes at the current position. */
bool writeAll(
    int descriptor, std::string_view bytes, const StorageHooks& hooks, const std::string& path, Reason& reason);
bool syncFile(int descriptor, const StorageHooks& hooks, const std::string& path, Reason& reason);
/** Makes the names in the folder durable. */
bool syncFolder(const std::string& folder, const StorageHooks& hooks, Reason& reason);
std::optional<std::string> readFile(const std::string& path, Reason& reason);
/** Replaces folder/name so that after a crash it has either its old or its new content. */
bool replaceFile(const std::string& folder, const std::string& name, const std::vector<std::string_view>& parts,
    const StorageHooks& hooks, Reason& reason);
bool removeFile(const std::string& path, Reason& reason);

/** Returns the reason for a failed system call, with errno. */
Reason systemFailure(const std::string& action, const std::string& path);

// Fixed-width little-endian numbers of the file formats.
void appendNumber(std::string& out, std::uint64_t value, std::size_t width);
/** Precondition: offset + width <= bytes.size(). */
std::uint64_t numberAt(std::string_view bytes, std::size_t offset, std::size_t width);

} // namespace flamingo
