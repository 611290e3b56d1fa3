#include "tests/integration/crowd/HeldCrowd.hpp"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <thread>

namespace redwing::test {

using namespace std::chrono_literals;

std::string
Length(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes);
}

std::string
Head(const std::string& aPath, const std::string& aFraming)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 20000\r\n" +
         aFraming + "\r\n\r\n";
}

CallerPlan
ChunkedBody(const std::string& aPath, std::size_t aPayload, std::size_t aChunk)
{
  CallerPlan plan{ Head(aPath, "Transfer-Encoding: chunked") };
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aChunk);
  plan.filler_ = size.data() + std::string(aChunk, 'x') + "\r\n";
  plan.bodyBytes_ = aPayload / aChunk * plan.filler_.size();
  // Whole chunks, so that successive pieces continue each other.
  constexpr std::size_t kPiece = 48 * 1024;
  plan.pieceBytes_ = std::max<std::size_t>(kPiece / plan.filler_.size(), 1) * plan.filler_.size();
  return plan;
}

CallerPlan
SlowReader(const std::string& aPath)
{
  const std::string request =
    "GET " + aPath + " HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 20000\r\n\r\n";
  CallerPlan plan{ request + request + request + request };
  plan.reads_ = false;
  return plan;
}

CallerPlan
KeyedRequests(const std::string& aPath, std::size_t aCount)
{
  constexpr std::size_t kKeyBytes = 200;
  CallerPlan plan;
  plan.headOf_ = [aPath, aCount](std::size_t aCaller) {
    std::string text;
    for (std::size_t i = 0; i < aCount; ++i) {
      text += Head(aPath,
                   Length(0) + "\r\nIdempotency-Key: " + std::string(kKeyBytes, 'k') +
                     std::to_string(aCaller) + "-" + std::to_string(i));
    }
    return text;
  };
  return plan;
}

void
WatchFor(std::vector<WatchedProcess>& aProcesses, std::chrono::milliseconds aTime)
{
  const auto end = std::chrono::steady_clock::now() + aTime;
  while (std::chrono::steady_clock::now() < end) {
    for (WatchedProcess& watched : aProcesses) {
      const ProcessUse use = ProcessUse::Of(watched.process_->Id(), watched.ip_);
      ProcessUse& most = watched.most_;
      most.memory_ = std::max(most.memory_, use.memory_);
      most.descriptors_ = std::max(most.descriptors_, use.descriptors_);
    }
    std::this_thread::sleep_for(20ms);
  }
}

void
CheckBounds(const std::vector<WatchedProcess>& aProcesses, const Machine& aMachine)
{
  for (std::size_t i = 0; i < aProcesses.size(); ++i) {
    BOOST_TEST_CONTEXT("process " << i + 1 << " of " << aProcesses.size())
    {
      const bench::Process& process = *aProcesses[i].process_;
      const ProcessUse& most = aProcesses[i].most_;
      const std::size_t resident = PeakMemory(process.Id());
      const std::size_t peak = std::max(resident, most.memory_);
      BOOST_TEST_MESSAGE("process " << i + 1 << " of " << aProcesses.size() << ": peak memory "
                                    << resident / 1024 << " KiB, with unread bytes " << peak / 1024
                                    << " KiB, sockets and pipes " << most.descriptors_);
      BOOST_TEST(process.Running());
      BOOST_TEST(resident > 0U);
      BOOST_TEST(peak < aMachine.memoryMb_ * kMegabyte);
      BOOST_TEST(most.descriptors_ < aMachine.descriptors_ - kReservedForFiles);
    }
  }
}

void
HoldCrowd(std::vector<WatchedProcess> aProcesses,
          const Machine& aMachine,
          const std::vector<Address>& aCallersOf,
          std::size_t aCallers,
          const CallerPlan& aPlan,
          std::chrono::seconds aTime,
          const std::function<bool()>& aOrdinaryRequestIsAnswered)
{
  {
    const Crowd crowd(aCallersOf, aCallers, aPlan);
    WatchFor(aProcesses, aTime);
    BOOST_TEST(aOrdinaryRequestIsAnswered());
  }
  BOOST_TEST(aOrdinaryRequestIsAnswered());
  CheckBounds(aProcesses, aMachine);
}

bool
RepeatUntilAnswered(const std::function<bool()>& aRequest)
{
  const auto limit = std::chrono::steady_clock::now() + 30s;
  while (std::chrono::steady_clock::now() < limit) {
    if (aRequest()) {
      return true;
    }
    std::this_thread::sleep_for(100ms);
  }
  return false;
}

} // namespace redwing::test
