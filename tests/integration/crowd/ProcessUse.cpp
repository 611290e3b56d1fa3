#include "tests/integration/crowd/ProcessUse.hpp"

#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string_view>

namespace redwing::test {

namespace {

std::string
ProcPath(pid_t aId, const char* aName)
{
  return "/proc/" + std::to_string(aId) + "/" + aName;
}

/// Returns the bytes that a line of the process's status names.
std::size_t
StatusBytes(pid_t aId, std::string_view aLine)
{
  std::ifstream status(ProcPath(aId, "status"));
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(aLine)) {
      return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
    }
  }
  return 0;
}

/// Returns the bytes that wait unread on the sockets with aInodes, and on connections to aIp that
/// were not accepted yet, which have no inode.
std::size_t
UnreadBytes(const std::set<std::string>& aInodes, const std::string& aIp)
{
  std::array<char, 9> ip{};
  std::snprintf(ip.data(), ip.size(), "%08X", ::inet_addr(aIp.c_str()));
  std::size_t bytes = 0;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    std::string unused;
    std::string inode;
    fields >> number >> local >> remote >> state >> queues >> unused >> unused >> unused >>
      unused >> inode;
    constexpr std::string_view kListening = "0A";
    const bool waits = inode == "0" && local.starts_with(ip.data());
    if (state != kListening && (waits || aInodes.contains(inode))) {
      bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
  }
  return bytes;
}

} // namespace

ProcessUse
ProcessUse::Of(pid_t aId, const std::string& aIp)
{
  ProcessUse use;
  std::set<std::string> inodes;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(ProcPath(aId, "fd"), error)) {
    const std::string target = std::filesystem::read_symlink(entry.path(), error).string();
    constexpr std::string_view kSocket = "socket:[";
    if (target.starts_with(kSocket)) {
      inodes.insert(target.substr(kSocket.size(), target.size() - kSocket.size() - 1));
      ++use.descriptors_;
    } else if (target.starts_with("pipe:")) {
      ++use.descriptors_;
    }
  }
  use.memory_ = StatusBytes(aId, "VmRSS:") + UnreadBytes(inodes, aIp);
  return use;
}

std::size_t
PeakMemory(pid_t aId)
{
  return StatusBytes(aId, "VmHWM:");
}

} // namespace redwing::test
