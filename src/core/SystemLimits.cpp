#include "core/SystemLimits.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

namespace redwing {

namespace {

std::uint64_t
ResourceLimit(int aResource)
{
  rlimit limit{};
  const bool known = ::getrlimit(static_cast<__rlimit_resource_t>(aResource), &limit) == 0;
  return known && limit.rlim_cur != RLIM_INFINITY ? limit.rlim_cur : 0;
}

std::uint64_t
MachineMemory()
{
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  const long pageBytes = ::sysconf(_SC_PAGESIZE);
  return pages > 0 && pageBytes > 0
           ? static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(pageBytes)
           : 0;
}

std::string
ReadText(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

} // namespace

SystemLimits
SystemLimits::OfThisProcess()
{
  SystemLimits limits;
  const std::uint64_t group = ControlGroupMemory(ReadText("/proc/self/cgroup"), "/sys/fs/cgroup");
  for (const std::uint64_t bytes :
       { MachineMemory(), ResourceLimit(RLIMIT_AS), ResourceLimit(RLIMIT_DATA), group }) {
    if (bytes > 0 && (limits.memoryBytes_ == 0 || bytes < limits.memoryBytes_)) {
      limits.memoryBytes_ = bytes;
    }
  }
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
  limits.descriptors_ = static_cast<std::uint32_t>(std::min(ResourceLimit(RLIMIT_NOFILE), kMost));
  return limits;
}

std::uint64_t
ControlGroupMemory(const std::string& aGroups, const std::string& aMount)
{
  // Version 2 has one line, with the number 0 and no controllers.
  constexpr std::string_view kUnified = "0::";
  std::istringstream lines(aGroups);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(kUnified)) {
      continue;
    }
    std::uint64_t bytes = 0;
    std::istringstream text(ReadText(aMount + line.substr(kUnified.size()) + "/memory.max"));
    // The file says "max" where there is no limit.
    return text >> bytes ? bytes : 0;
  }
  return 0;
}

} // namespace redwing
