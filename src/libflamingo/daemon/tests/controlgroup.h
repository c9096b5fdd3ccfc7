#pragma once

#include "base/time.h"
#include "consensus/consensusmember.h"
#include "control/controlprotocol.h"
#include "control/controlservice.h"
#include "daemon/controlrole.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace flamingo::test {

/** A minimal protocol of operators: POST /VERSION replaces the routes, GET / reads them. */
inline const ControlProtocol& plainControlProtocol()
{
    static constexpr ControlProtocol protocol { [](HttpRequest& http, Reason&) -> std::optional<ControlCall> {
                                                   if (http.m_method == "GET")
                                                       return RoutesRead {};
                                                   RoutesUpload upload;
                                                   upload.m_document = http.m_target.substr(1);
                                                   upload.m_configuration.m_header.m_version
                                                       = ConfigurationVersion(std::stoull(upload.m_document));
                                                   return upload;
                                               },
        [](const HttpRequest&, const ControlAnswer& answer) {
            return HttpResponse { answer.m_code == ResultCode::Ok ? 200U : 503U, {}, answer.m_document };
        } };
    return protocol;
}

/**
 * The control roles of several VMs in one process, with real sockets and data folders whose disks the test can fill.
 *
 * All roles run on one thread while the group exists; calls of operators come from the thread of the test.
 */
class ControlGroup {
public:
    explicit ControlGroup(int count)
    {
        static std::atomic<int> groups { 0 };
        const std::string network = "127.77." + std::to_string((::getpid() + groups++) % 250 + 1) + ".";
        for (int number = 1; number <= count; ++number) {
            auto vm = std::make_unique<Vm>();
            std::string pattern = (std::filesystem::temp_directory_path() / "flamingo-role-XXXXXX").string();
            vm->m_folder = ::mkdtemp(pattern.data());
            vm->m_ip = network + std::to_string(number);
            m_vms.push_back(std::move(vm));
        }
        for (int number = 0; number < count; ++number)
            m_vms[number]->m_role = std::make_unique<ControlRole>(
                m_io, settingsOf(number), [this](const Reason&) { m_roleStopped = true; });
        m_thread = std::thread([this] { runRoles(); });
    }
    ~ControlGroup()
    {
        m_stopped = true;
        m_thread.join();
        std::error_code ignored;
        for (const auto& vm : m_vms) {
            vm->m_role.reset();
            std::filesystem::remove_all(vm->m_folder, ignored);
        }
    }

    /** Fills the disk of a VM, or makes room on it again. */
    void setFull(int vm, bool full) { m_vms[vm]->m_full = full; }

    /** Sends a call to one VM after the other until one answers with success. Returns its answer. */
    std::optional<std::string> call(const std::string& method, const std::string& target, Milliseconds limit)
    {
        const MonotonicTime end = monotonicNow() + limit;
        for (std::size_t vm = 0; monotonicNow() < end; vm = (vm + 1) % m_vms.size()) {
            const std::string answer = exchange(m_vms[vm]->m_ip, method, target);
            if (answer.find("HTTP/1.1 200") == 0)
                return answer.substr(answer.find("\r\n\r\n") + 4);
            std::this_thread::sleep_for(Milliseconds(20));
        }
        return std::nullopt;
    }
    /** Replaces the routes and returns whether that was acknowledged within the limit. */
    bool change(int version, Milliseconds limit)
    {
        return call("POST", "/" + std::to_string(version), limit).has_value();
    }

    /** Runs a function on the thread of the roles and returns its result. */
    template <typename Function> auto onRoles(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(m_io, [&task] { task(); });
        return result.get();
    }
    const ControlRole& role(int vm) const { return *m_vms[vm]->m_role; }
    bool roleStopped() const { return m_roleStopped; }

private:
    struct Vm {
        std::string m_folder;
        std::string m_ip;
        std::atomic<bool> m_full { false };
        std::unique_ptr<ControlRole> m_role;
    };

    ControlRoleSettings settingsOf(int number)
    {
        Vm& vm = *m_vms[number];
        ControlRoleSettings settings;
        settings.m_listenAddress = vm.m_ip;
        settings.m_listenPort = linkPort;
        settings.m_api = { vm.m_ip, apiPort };
        settings.m_protocol = &plainControlProtocol();
        MemberSettings& member = settings.m_member;
        member.m_folder = vm.m_folder + "/log";
        member.m_vm = VmId("vm" + std::to_string(number + 1));
        member.m_address = vm.m_ip + ":" + std::to_string(linkPort);
        member.m_bootstrapAllowed = true;
        member.m_openMembership = true;
        member.m_seed = static_cast<std::uint64_t>(number + 1) * 1000;
        member.m_snapshotInterval = 20;
        for (std::size_t other = 0; other < m_vms.size(); ++other)
            member.m_initialMembers.push_back(
                { VmId("vm" + std::to_string(other + 1)), m_vms[other]->m_ip + ":" + std::to_string(linkPort) });
        member.m_storageHooks.m_write = [&vm](int descriptor, const char* bytes, std::size_t size) -> ssize_t {
            if (!vm.m_full)
                return ::write(descriptor, bytes, size);
            errno = ENOSPC;
            return -1;
        };
        return settings;
    }

    void runRoles()
    {
        constexpr Milliseconds tickInterval { 20 };
        Reason reason;
        for (const auto& vm : m_vms) {
            if (!vm->m_role->start(monotonicNow(), reason))
                m_roleStopped = true;
        }
        while (!m_stopped) {
            m_io.restart();
            m_io.run_for(tickInterval);
            for (const auto& vm : m_vms)
                vm->m_role->tick(monotonicNow());
        }
        for (const auto& vm : m_vms)
            vm->m_role->stop();
    }

    static std::string exchange(const std::string& ip, const std::string& method, const std::string& target)
    {
        boost::asio::ip::tcp::iostream stream;
        stream.expires_after(std::chrono::seconds(1));
        stream.connect(ip, std::to_string(apiPort));
        stream << method << " " << target << " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
               << std::flush;
        return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    }

    static constexpr std::uint16_t linkPort = 7700;
    static constexpr std::uint16_t apiPort = 7701;

    boost::asio::io_context m_io;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::atomic<bool> m_stopped { false };
    std::atomic<bool> m_roleStopped { false };
    std::thread m_thread;
};

} // namespace flamingo::test
