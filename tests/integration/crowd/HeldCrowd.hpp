#pragma once

#include "bench/Process.hpp"
#include "tests/integration/crowd/Crowd.hpp"
#include "tests/integration/crowd/ProcessUse.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace redwing::test {

constexpr std::size_t kMegabyte = 1024 * 1024;
/// Descriptors that a machine keeps for files.
constexpr std::size_t kReservedForFiles = 200;
/// Crowds are held for this long, which is longer than the time limits of heads.
constexpr std::chrono::seconds kCrowdTime{ 6 };
/// Legal, and larger than what is buffered before a request is passed on.
constexpr std::size_t kLegalBody = 900 * 1024;
/// Legal, and held whole before it is passed on.
constexpr std::size_t kHeldWhole = 600 * 1024;
constexpr std::size_t kLargeChunk = 32 * 1024;
constexpr std::size_t kSmallChunk = 1;
constexpr std::size_t kCallers = 200;

/// What each process must keep to.
struct Machine
{
  std::size_t memoryMb_ = 64;
  std::size_t descriptors_ = 500;
  std::size_t maxBodyBytes_ = kMegabyte;
};

struct WatchedProcess
{
  const bench::Process* process_ = nullptr;
  /// Address that its listening sockets are bound to.
  std::string ip_;
  /// The most that was seen.
  ProcessUse most_{};
};

/// Samples what the processes use for aTime.
void WatchFor(std::vector<WatchedProcess>& aProcesses, std::chrono::milliseconds aTime);

/// Checks that all processes live and kept to aMachine.
void CheckBounds(const std::vector<WatchedProcess>& aProcesses, const Machine& aMachine);

/// Returns a header that states the length of a body.
std::string Length(std::size_t aBytes);

/// Returns the head of a request of a crowd; aFraming is a header that frames its body.
std::string Head(const std::string& aPath, const std::string& aFraming);

/// Returns a plan of a body in chunks of aChunk payload bytes that stops before its end, after
/// aPayload bytes.
CallerPlan ChunkedBody(const std::string& aPath, std::size_t aPayload, std::size_t aChunk);

/// Returns a plan of a caller that asks for large responses and does not read them.
CallerPlan SlowReader(const std::string& aPath);

/// Returns a plan of a caller that sends aCount requests, each with a long Idempotency-Key of its
/// own.
CallerPlan KeyedRequests(const std::string& aPath, std::size_t aCount);

/// Holds a crowd at aCallersOf for aTime, asks for an ordinary request while it stands and for
/// another one after it has left, and checks that all processes live and kept to aMachine.
void HoldCrowd(std::vector<WatchedProcess> aProcesses,
               const Machine& aMachine,
               const std::vector<Address>& aCallersOf,
               std::size_t aCallers,
               const CallerPlan& aPlan,
               std::chrono::seconds aTime,
               const std::function<bool()>& aOrdinaryRequestIsAnswered);

/// Repeats aRequest until it is answered; returns whether it was, within a generous time.
bool RepeatUntilAnswered(const std::function<bool()>& aRequest);

} // namespace redwing::test
