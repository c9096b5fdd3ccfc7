#include "consensus/fileio.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace flamingo {

FileHandle& FileHandle::operator=(FileHandle&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

FileHandle::~FileHandle()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

Reason systemFailure(const std::string& action, const std::string& path)
{
    const int error = errno;
    return Reason { ResultCode::StorageFailed, "cannot " + action + " " + path + ": " + std::strerror(error) };
}

FileHandle openFile(const std::string& path, int flags, Reason& reason)
{
    constexpr mode_t kOwnerOnly = 0600;
    FileHandle file(::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly));
    if (!file.isOpen())
        reason = systemFailure("open", path);
    return file;
}

bool writeAll(
    int descriptor, std::string_view bytes, const StorageHooks& hooks, const std::string& path, Reason& reason)
{
    while (!bytes.empty()) {
        const ssize_t written = hooks.m_write ? hooks.m_write(descriptor, bytes.data(), bytes.size())
                                              : ::write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0) {
            if (written == 0)
                errno = ENOSPC;
            reason = systemFailure("write", path);
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

// A failed fsync is never retried: the kernel may have dropped the dirty pages, so a second call could succeed
// although the data is lost.
bool syncFile(int descriptor, const StorageHooks& hooks, const std::string& path, Reason& reason)
{
    const bool synced = hooks.m_sync ? hooks.m_sync(descriptor) : ::fsync(descriptor) == 0;
    if (!synced)
        reason = systemFailure("sync", path);
    return synced;
}

bool syncFolder(const std::string& folder, const StorageHooks& hooks, Reason& reason)
{
    const FileHandle handle = openFile(folder, O_RDONLY | O_DIRECTORY, reason);
    return handle.isOpen() && syncFile(handle.descriptor(), hooks, folder, reason);
}

std::optional<std::string> readFile(const std::string& path, Reason& reason)
{
    const FileHandle file = openFile(path, O_RDONLY, reason);
    if (!file.isOpen())
        return std::nullopt;
    struct stat status { };
    if (::fstat(file.descriptor(), &status) != 0) {
        reason = systemFailure("read", path);
        return std::nullopt;
    }
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = ::read(file.descriptor(), &bytes[done], bytes.size() - done);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0) {
            reason = systemFailure("read", path);
            return std::nullopt;
        }
        if (count == 0)
            break;
        done += static_cast<std::size_t>(count);
    }
    bytes.resize(done);
    return bytes;
}

bool replaceFile(const std::string& folder, const std::string& name, const std::vector<std::string_view>& parts,
    const StorageHooks& hooks, Reason& reason)
{
    const std::string path = folder + "/" + name;
    const std::string temporary = path + ".tmp";
    {
        const FileHandle file = openFile(temporary, O_WRONLY | O_CREAT | O_TRUNC, reason);
        if (!file.isOpen())
            return false;
        for (const std::string_view part : parts) {
            if (!writeAll(file.descriptor(), part, hooks, temporary, reason))
                return false;
        }
        if (!syncFile(file.descriptor(), hooks, temporary, reason))
            return false;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        reason = systemFailure("rename", temporary);
        return false;
    }
    return syncFolder(folder, hooks, reason);
}

bool removeFile(const std::string& path, Reason& reason)
{
    if (::unlink(path.c_str()) == 0 || errno == ENOENT)
        return true;
    reason = systemFailure("remove", path);
    return false;
}

void appendNumber(std::string& out, std::uint64_t value, std::size_t width)
{
    for (std::size_t i = 0; i < width; ++i)
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
}

std::uint64_t numberAt(std::string_view bytes, std::size_t offset, std::size_t width)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < width; ++i)
        value |= std::uint64_t(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return value;
}

} // namespace flamingo
