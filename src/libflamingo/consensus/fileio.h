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

// On failure, each of these functions sets the reason to StorageFailed with the path and the system's error text.

/** Opens a file with flags of open(2). New files get mode 0600. */
FileHandle openFile(const std::string& path, int flags, Reason& reason);
/** Writes all bytes at the current file position. */
bool writeAll(
    int descriptor, std::string_view bytes, const StorageHooks& hooks, const std::string& path, Reason& reason);
/** Makes the content of the file durable. */
bool syncFile(int descriptor, const StorageHooks& hooks, const std::string& path, Reason& reason);
/** Makes created, renamed and removed directory entries of the folder durable. */
bool syncFolder(const std::string& folder, const StorageHooks& hooks, Reason& reason);
/** Returns the whole content of the file, or nothing on failure. */
std::optional<std::string> readFile(const std::string& path, Reason& reason);
/** Atomically replaces folder/name by the concatenated parts: after a crash it has its old or its new content. */
bool replaceFile(const std::string& folder, const std::string& name, const std::vector<std::string_view>& parts,
    const StorageHooks& hooks, Reason& reason);
/** Removes the file; succeeds if it does not exist. */
bool removeFile(const std::string& path, Reason& reason);

/** Returns the reason for a system call that has just failed, with the text of errno. */
Reason systemFailure(const std::string& action, const std::string& path);

/** Appends the number with the width in bytes, in little-endian order. */
void appendNumber(std::string& out, std::uint64_t value, std::size_t width);
/** Returns the little-endian number at the offset. Precondition: offset + width <= bytes.size(). */
std::uint64_t numberAt(std::string_view bytes, std::size_t offset, std::size_t width);

} // namespace flamingo
