#include "daemon/ProcessLimits.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

constexpr std::uint64_t kMegabyte = 1024 * 1024;

ProcessLimits
Of(ProcessLimits aStated, SystemLimits aSystem)
{
  return ProcessLimits::Of(aStated, [&] { return aSystem; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(LimitsOfProcesses)

// Guards against settings without limits that bound nothing, and against a default that exceeds
// what the system allows.
BOOST_AUTO_TEST_CASE(UnstatedLimitsComeFromTheDefaultAndTheSystem)
{
  const SystemLimits large{ 64 * 1024 * kMegabyte, 20000 };
  BOOST_TEST(Of({}, large).memoryBytes_ == kDefaultMemoryBytes);
  BOOST_TEST(Of({}, large).descriptors_ == 20000U);
  BOOST_TEST(Of({}, { 100 * kMegabyte, 500 }).memoryBytes_ == 100 * kMegabyte);
  BOOST_TEST(Of({}, {}).memoryBytes_ == kDefaultMemoryBytes);
  BOOST_TEST(Of({ 64 * kMegabyte, 0 }, large).memoryBytes_ == 64 * kMegabyte);
  BOOST_TEST(Of({ 64 * kMegabyte, 0 }, large).descriptors_ == 20000U);
}

// Guards against stated limits that are replaced.
BOOST_AUTO_TEST_CASE(StatedLimitsHold)
{
  const ProcessLimits stated = Of({ 900 * kMegabyte, 4100 }, { 100 * kMegabyte, 500 });
  BOOST_TEST(stated.memoryBytes_ == 900 * kMegabyte);
  BOOST_TEST(stated.descriptors_ == 4100U);
}

// Guards against a part of the instance that does not get its share.
BOOST_AUTO_TEST_CASE(AllPartsAreBounded)
{
  CounterRegistry counters;
  MemoryBudget memory(64 * kMegabyte, counters);
  IntakeSettings intake;
  BackendSettings backend;
  PeerSettings peer;
  ProcessLimits{ 64 * kMegabyte, 500 }.Apply(memory, intake, backend, peer);
  BOOST_TEST(intake.maxConnections_ == 225U);
  BOOST_TEST(intake.closesIdleForNew_);
  BOOST_TEST(backend.maxServerConnections_ == 25U);
  BOOST_TEST(backend.socketBufferBytes_ > 0);
  BOOST_TEST(backend.idempotency_.responseBytes_ == 4 * kMegabyte);
  BOOST_TEST(backend.idempotency_.entryBytes_ == 4 * kMegabyte);
  BOOST_TEST(peer.maxInboundLinks_ == 25U);
  BOOST_TEST(peer.socketBufferBytes_ > 0);
  BOOST_TEST(peer.memory_ == &memory);
}

BOOST_AUTO_TEST_SUITE_END()
