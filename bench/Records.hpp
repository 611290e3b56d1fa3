#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwing::bench {

/// One execution of a request on a backend server.
struct RunRecord
{
  std::size_t server_ = 0;
  std::string loadId_;
  std::string shard_;
  std::string workspace_;
  std::uint64_t token_ = 0;
  std::int64_t startNs_ = 0;
  /// 0 when the server ended before the run.
  std::int64_t endNs_ = 0;
  bool complete_ = false;
};

/// Time during which a backend server was allowed to serve a shard.
struct GrantInterval
{
  std::size_t server_ = 0;
  std::string shard_;
  std::uint64_t token_ = 0;
  std::int64_t fromNs_ = 0;
  std::int64_t untilNs_ = 0;
};

/// What all backend servers recorded.
struct Records
{
  std::vector<RunRecord> runs_;
  std::unordered_map<std::string, std::vector<std::size_t>> runsByLoadId_;
  std::vector<GrantInterval> grants_;
  std::uint64_t collapses_ = 0;
  std::uint64_t crashes_ = 0;
  std::uint64_t callerKeysSeen_ = 0;
};

/// One request as its caller saw it.
struct OutcomeRecord
{
  std::string loadId_;
  std::string workspace_;
  std::string key_;
  std::string outcome_;
  std::string code_;
  bool idempotent_ = true;
  unsigned status_ = 0;
  unsigned unknownBefore_ = 0;
  std::int64_t scheduledNs_ = 0;
  std::int64_t doneNs_ = 0;

  bool Ok() const { return outcome_ == "ok"; }
};

/// Adds the record file of one server. A missing file means that the server recorded nothing.
void ReadRecords(const std::filesystem::path& aFile, std::size_t aServer, Records& aRecords);

/// Reads the outcomes that the load generator wrote; throws when the file is not valid.
std::vector<OutcomeRecord> ReadOutcomes(const std::filesystem::path& aFile);

} // namespace redwing::bench
