#include "testcluster.h"

#include "base/hash.h"
#include "consensus/logstorage.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <filesystem>
#include <fstream>

using namespace flamingo;
using namespace flamingo::test;
namespace fs = std::filesystem;

namespace {

LogEntryPtr entry(std::uint64_t index, std::uint64_t term, std::string bytes)
{
    return std::make_shared<const LogEntry>(LogEntry { LogIndex(index), Term(term), std::move(bytes) });
}

/** Returns the path of the last file in alphabetical order whose name contains the substring, or an empty string. */
std::string lastFileContaining(const std::string& folder, const std::string& substring)
{
    std::string found;
    for (const auto& file : fs::directory_iterator(folder)) {
        const std::string path = file.path().string();
        if (file.path().filename().string().find(substring) != std::string::npos && file.path().extension() != ".tmp")
            found = std::max(found, path);
    }
    return found;
}

void flipByte(const std::string& path, std::uint64_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const int byte = file.get();
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(static_cast<char>(byte ^ 0x5a));
}

SnapshotInfo snapshotOf(std::uint64_t index, std::uint64_t term, const std::string& bytes)
{
    SnapshotInfo info;
    info.m_index = LogIndex(index);
    info.m_term = Term(term);
    info.m_size = bytes.size();
    info.m_checksum = hashBytes(bytes);
    return info;
}

std::unique_ptr<LogStorage> openStorage(TestDisk& disk, Reason& reason)
{
    auto storage = LogStorage::open(disk.folder(), disk.hooks(), reason);
    if (storage && !storage->meta())
        storage->saveMeta({ MemberId("vm1#1"), Term(1), MemberId() });
    return storage;
}

} // namespace

// Guards against acknowledged entries that are lost in a restart, and against damaged files that are not detected.
TEST_CASE("The storage keeps acknowledged entries")
{
    TestDisk disk;
    Reason reason;
    auto storage = openStorage(disk, reason);
    REQUIRE(storage);
    for (std::uint64_t index = 1; index <= 9; index += 3)
        REQUIRE(storage->append({ entry(index, 1, "a"), entry(index + 1, 1, "b"), entry(index + 2, 1, "c") }));

    SECTION("a second process is refused")
    {
        REQUIRE_FALSE(openStorage(disk, reason));
        REQUIRE(reason.m_text.find("in use") != std::string::npos);
    }

    storage.reset();
    const std::string segment = lastFileContaining(disk.folder(), "log-");
    const std::uint64_t size = fs::file_size(segment);

    SECTION("the member id and all entries are read after a restart")
    {
        storage = openStorage(disk, reason);
        REQUIRE(storage->meta()->m_member == MemberId("vm1#1"));
        REQUIRE(storage->takeEntries().size() == 9);
    }
    SECTION("an incomplete last record of any length is dropped")
    {
        const std::uint64_t recordSize = (size - 24) / 9;
        for (std::uint64_t missingBytes = 1; missingBytes < recordSize; ++missingBytes) {
            fs::resize_file(segment, size - missingBytes);
            storage = openStorage(disk, reason);
            REQUIRE(storage);
            REQUIRE(storage->takeEntries().size() == 8);
            storage.reset();
        }
        SECTION("entries can be appended after the dropped record")
        {
            storage = openStorage(disk, reason);
            REQUIRE(storage->append({ entry(9, 2, "d") }));
            storage.reset();
            storage = openStorage(disk, reason);
            const auto entries = storage->takeEntries();
            REQUIRE(entries.size() == 9);
            REQUIRE(entries.back()->m_term == Term(2));
        }
    }
    SECTION("a last write of which only the later pages reached the disk is dropped")
    {
        // The first record of the last write is invalid and the others are complete. The write was never synced, so the
        // file does not count as damaged.
        const std::uint64_t recordSize = (size - 24) / 9;
        flipByte(segment, 24 + 6 * recordSize + 20);
        storage = openStorage(disk, reason);
        REQUIRE(storage);
        REQUIRE(storage->takeEntries().size() == 6);
    }
    SECTION("a damaged byte in any record before the last write is refused")
    {
        const std::uint64_t recordSize = (size - 24) / 9;
        for (std::uint64_t offset = 0; offset < 24 + 6 * recordSize; ++offset) {
            flipByte(segment, offset);
            REQUIRE_FALSE(openStorage(disk, reason));
            REQUIRE(reason.m_code == ResultCode::StorageFailed);
            REQUIRE(reason.m_text.find("damaged") != std::string::npos);
            flipByte(segment, offset);
        }
        REQUIRE(openStorage(disk, reason));
    }
    SECTION("truncation removes records across segments")
    {
        storage = openStorage(disk, reason);
        REQUIRE(storage->append({ entry(10, 1, "d") }));
        REQUIRE(storage->truncateFrom(LogIndex(5)));
        REQUIRE(storage->append({ entry(5, 3, "new") }));
        storage.reset();
        storage = openStorage(disk, reason);
        const auto entries = storage->takeEntries();
        REQUIRE(entries.size() == 5);
        REQUIRE(std::get<std::string>(entries.back()->m_body) == "new");
    }
    SECTION("a snapshot replaces the entries before it")
    {
        storage = openStorage(disk, reason);
        REQUIRE(storage->saveSnapshot(snapshotOf(7, 1, "state"), "state"));
        REQUIRE(storage->append({ entry(10, 1, "d") }));
        storage.reset();
        storage = openStorage(disk, reason);
        REQUIRE(storage->snapshot()->info().m_index == LogIndex(7));
        REQUIRE(storage->takeEntries().size() == 3);

        SECTION("a snapshot of another member replaces the whole log if the log does not continue it")
        {
            REQUIRE(storage->installSnapshot(snapshotOf(10, 2, "other"), "other"));
            REQUIRE(storage->append({ entry(11, 2, "e") }));
            storage.reset();
            storage = openStorage(disk, reason);
            REQUIRE(storage->takeEntries().size() == 1);
            REQUIRE(*storage->snapshot()->read(0, 5, reason) == "other");
        }
        SECTION("a damaged snapshot is refused")
        {
            storage.reset();
            const std::string path = lastFileContaining(disk.folder(), "snapshot-");
            for (std::uint64_t offset = 0; offset < fs::file_size(path); ++offset) {
                flipByte(path, offset);
                REQUIRE_FALSE(openStorage(disk, reason));
                REQUIRE(reason.m_code == ResultCode::StorageFailed);
                flipByte(path, offset);
            }
        }
        SECTION("a missing segment is refused")
        {
            storage->saveSnapshot(snapshotOf(8, 1, "state"), "state");
            storage->append({ entry(11, 1, "e") });
            storage.reset();
            fs::remove(lastFileContaining(disk.folder(), "00010.seg"));
            REQUIRE_FALSE(openStorage(disk, reason));
            REQUIRE(reason.m_text.find("missing") != std::string::npos);
        }
    }
    SECTION("a damaged or missing meta file is refused")
    {
        const std::string meta = disk.folder() + "/meta";
        flipByte(meta, 20);
        REQUIRE_FALSE(openStorage(disk, reason));
        fs::remove(meta);
        REQUIRE_FALSE(openStorage(disk, reason));
        REQUIRE(reason.m_text.find("meta") != std::string::npos);
    }
    SECTION("entries that a killed process left unsynced are durable after the next start")
    {
        storage = openStorage(disk, reason);
        disk.m_callsUntilFailure = 3; // segment header, folder and record succeed; the sync of the record fails
        REQUIRE_FALSE(storage->append({ entry(10, 1, "d") }));
        storage.reset();
        disk.m_callsUntilFailure = -1;
        REQUIRE(openStorage(disk, reason)->takeEntries().size() == 10);
        std::mt19937_64 random(1);
        disk.dropUnsynced(random);
        REQUIRE(openStorage(disk, reason)->takeEntries().size() == 10);
    }
    SECTION("after a write to a full disk no entry is acknowledged any more")
    {
        storage = openStorage(disk, reason);
        disk.m_callsUntilFailure = 0;
        REQUIRE_FALSE(storage->append({ entry(10, 1, "d") }));
        REQUIRE(storage->lastReason().m_code == ResultCode::StorageFailed);
        REQUIRE(storage->lastReason().m_text.find("No space left") != std::string::npos);
        disk.m_callsUntilFailure = -1;
        REQUIRE_FALSE(storage->append({ entry(10, 1, "d") }));
    }
}

// Guards against a power failure after which the files cannot be opened or lack acknowledged entries.
TEST_CASE("The storage keeps acknowledged changes after a power failure at any write")
{
    rc::prop("every acknowledged change is read after the restart", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        TestDisk disk;
        std::vector<std::pair<std::uint64_t, std::string>> model; // term and bytes of the entry at index position + 1
        std::uint64_t snapshot = 0;
        for (int run = 0; run < 6; ++run) {
            Reason reason;
            auto storage = openStorage(disk, reason);
            if (!storage)
                RC_FAIL(reason.m_text);
            const std::uint64_t found = storage->snapshot() ? storage->snapshot()->info().m_index.value() : 0;
            const auto entries = storage->takeEntries();
            RC_ASSERT(found == snapshot);
            RC_ASSERT(found + entries.size() >= model.size());
            for (std::size_t i = 0; i < entries.size(); ++i) {
                const std::uint64_t index = found + i + 1;
                RC_ASSERT(entries[i]->m_index == LogIndex(index));
                const auto& bytes = std::get<std::string>(entries[i]->m_body);
                if (index <= model.size())
                    RC_ASSERT(bytes == model[index - 1].second);
                else
                    model.emplace_back(entries[i]->m_term.value(), bytes); // was written, but not acknowledged
            }
            disk.m_callsUntilFailure = static_cast<int>(random() % 40);
            for (bool succeeded = true; succeeded;) {
                const auto choice = random() % 10;
                if (choice < 7) {
                    std::vector<LogEntryPtr> batch;
                    for (std::uint64_t i = 0; i <= random() % 4; ++i) {
                        const std::uint64_t term = static_cast<std::uint64_t>(run) + 1;
                        batch.push_back(entry(
                            model.size() + i + 1, term, std::string(random() % 200, 'x') + std::to_string(random())));
                    }
                    succeeded = storage->append(batch);
                    for (std::size_t i = 0; succeeded && i < batch.size(); ++i)
                        model.emplace_back(run + 1, std::get<std::string>(batch[i]->m_body));
                } else if (choice < 8 && model.size() > snapshot) {
                    const std::uint64_t from = snapshot + 1 + random() % (model.size() - snapshot);
                    // An interrupted truncation may have been done or not, so the model drops the entries first.
                    model.resize(from - 1);
                    succeeded = storage->truncateFrom(LogIndex(from));
                } else if (model.size() > snapshot) {
                    const std::uint64_t at = snapshot + 1 + random() % (model.size() - snapshot);
                    const std::string state = "state" + std::to_string(at);
                    succeeded = storage->saveSnapshot(snapshotOf(at, model[at - 1].first, state), state);
                    if (storage->snapshot() && storage->snapshot()->info().m_index.value() == at)
                        snapshot = at;
                }
            }
            // A snapshot may have been renamed although the sync of the folder failed.
            const bool renamed = fs::exists(lastFileContaining(disk.folder(), "snapshot-"));
            storage.reset();
            disk.m_callsUntilFailure = -1;
            disk.dropUnsynced(random);
            if (renamed) {
                const std::string name = fs::path(lastFileContaining(disk.folder(), "snapshot-")).stem().string();
                snapshot = std::stoull(name.substr(name.find('-') + 1));
            }
        }
    });
}
