#include "daemon/ProcessLimits.hpp"

#include "core/DescriptorShares.hpp"
#include "core/Log.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// What the system holds for a connection to the backend server or another instance where memory
/// is limited: half of the window of a body.
constexpr int kSocketBufferBytes = 128 * 1024;
/// The records of requests with an Idempotency-Key, and the responses kept for them, each take up
/// to this part of the limit of held bytes. They are not counted toward it: they last for minutes,
/// and bodies would be refused meanwhile.
constexpr std::size_t kRecordsPart = 4;

} // namespace

ProcessLimits
ProcessLimits::Of(ProcessLimits aStated, const std::function<SystemLimits()>& aSystem)
{
  if (aStated.memoryBytes_ > 0 && aStated.descriptors_ > 0) {
    return aStated;
  }
  const SystemLimits system = aSystem();
  if (aStated.memoryBytes_ == 0) {
    aStated.memoryBytes_ = system.memoryBytes_ > 0
                             ? std::min(system.memoryBytes_, kDefaultMemoryBytes)
                             : kDefaultMemoryBytes;
  }
  if (aStated.descriptors_ == 0) {
    aStated.descriptors_ = system.descriptors_;
  }
  return aStated;
}

void
ProcessLimits::Apply(MemoryBudget& aMemory,
                     IntakeSettings& aIntake,
                     BackendSettings& aBackend,
                     PeerSettings& aPeer) const
{
  if (descriptors_ > 0) {
    const auto shares = DescriptorShares::Of(descriptors_);
    aIntake.maxConnections_ = std::min(aIntake.maxConnections_, shares.callers_);
    aBackend.maxServerConnections_ = shares.server_;
    aPeer.maxInboundLinks_ = shares.peers_;
  }
  IdempotencyLimits& records = aBackend.idempotency_;
  records.responseBytes_ = std::min(records.responseBytes_, aMemory.Limit() / kRecordsPart);
  records.entryBytes_ = std::min(records.entryBytes_, aMemory.Limit() / kRecordsPart);
  aIntake.closesIdleForNew_ = true;
  aBackend.socketBufferBytes_ = kSocketBufferBytes;
  aPeer.socketBufferBytes_ = kSocketBufferBytes;
  aPeer.memory_ = &aMemory;
  LogLine(LogLevel::Info, "limits")
    .With("held_bytes", aMemory.Limit())
    .With("caller_connections", aIntake.maxConnections_)
    .With("server_connections", aBackend.maxServerConnections_)
    .With("inbound_links", aPeer.maxInboundLinks_)
    .With("record_bytes", aBackend.idempotency_.entryBytes_);
}

} // namespace redwing
