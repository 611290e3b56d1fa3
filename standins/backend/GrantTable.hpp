#pragma once

#include "backend/Recorder.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace redwing::standins {

/// The shards that the instance beside the server has granted, with their tokens and one deadline.
class GrantTable
{
public:
  explicit GrantTable(Recorder& aRecorder)
    : recorder_(aRecorder)
  {
  }

  /// Replaces the whole set. Returns false for a command of an older incarnation.
  bool Replace(const nlohmann::json& aCommand, std::int64_t aNowNs);
  /// Returns whether the shard is granted with exactly this token at aNowNs.
  bool Allows(std::string_view aShard, std::uint64_t aToken, std::int64_t aNowNs) const;
  /// Writes the intervals that are still open, each until the deadline.
  void RecordOpen() const;

private:
  struct Grant
  {
    std::uint64_t token_ = 0;
    std::int64_t fromNs_ = 0;
  };

  void RecordEnd(const std::string& aShard, const Grant& aGrant, std::int64_t aUntilNs) const;

  Recorder& recorder_;
  std::uint64_t incarnation_ = 0;
  std::int64_t deadlineNs_ = 0;
  std::map<std::string, Grant, std::less<>> grants_;
  /// Highest token seen per shard; a lower one is never accepted again.
  std::map<std::string, std::uint64_t, std::less<>> highest_;
};

} // namespace redwing::standins
