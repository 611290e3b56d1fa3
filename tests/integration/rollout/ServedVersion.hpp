#pragma once

#include "ExposureLog.hpp"
#include "tests/integration/owner/KeyedServer.hpp"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace redwing::test {

/// What is wrong with a version.
enum class Fault
{
  None,
  /// Fails part of its requests, from the start or from some time on.
  Fails,
  /// Fails part of the requests that arrive while others run.
  FailsUnderLoad,
  /// Fails part of the requests of one route.
  FailsOnRoute,
  Slow,
};

struct FaultPlan
{
  Fault fault_ = Fault::None;
  /// Part of the requests that fail.
  double rate_ = 0;
  /// Factor by which answers take longer.
  int slowness_ = 1;
  /// Time from the first request to the server until the fault begins.
  std::chrono::milliseconds from_{ 0 };
};

/// Decides how one server of a version answers, and logs what it gets. Used on one thread.
class ServedVersion
{
public:
  /// Part of the paths that a fault on one route hits.
  static constexpr const char* kBadRoute = "/list/";

  ServedVersion(ExposureLog& aLog, bool aTarget, FaultPlan aPlan, std::uint64_t aSeed);

  /// Logs an arrival; returns how it is answered. aRuns is false if the server rejects it.
  ServerReply Begin(const std::string& aPath, bool aRuns);

  /// Logs the end of a request that ran.
  void End(const ServerReply& aReply);

private:
  bool Fails(const std::string& aPath);

  ExposureLog& log_;
  bool target_;
  FaultPlan plan_;
  std::mt19937_64 random_;
  LogTime first_{};
  int running_ = 0;
};

} // namespace redwing::test
