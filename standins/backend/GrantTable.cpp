#include "backend/GrantTable.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace redwing::standins {

void
GrantTable::RecordEnd(const std::string& aShard, const Grant& aGrant, std::int64_t aUntilNs) const
{
  recorder_.Write({ { "t", "grant" },
                    { "shard", aShard },
                    { "token", aGrant.token_ },
                    { "from", aGrant.fromNs_ },
                    { "until", aUntilNs } });
}

bool
GrantTable::Replace(const nlohmann::json& aCommand, std::int64_t aNowNs)
{
  auto incarnation = aCommand.at("incarnation").get<std::uint64_t>();
  if (incarnation < incarnation_) {
    return false;
  }
  incarnation_ = incarnation;
  std::map<std::string, Grant, std::less<>> next;
  for (const auto& grant : aCommand.at("grants")) {
    auto shard = grant.at("shard").get<std::string>();
    auto token = grant.at("token").get<std::uint64_t>();
    auto& highest = highest_[shard];
    if (token < highest) {
      continue;
    }
    highest = token;
    auto old = grants_.find(shard);
    bool continues = old != grants_.end() && old->second.token_ == token && deadlineNs_ > aNowNs;
    next[shard] = { token, continues ? old->second.fromNs_ : aNowNs };
    if (!continues) {
      recorder_.Write(
        { { "t", "grant-from" }, { "shard", shard }, { "token", token }, { "from", aNowNs } });
    }
  }
  for (const auto& [shard, grant] : grants_) {
    auto now = next.find(shard);
    if (now == next.end() || now->second.fromNs_ != grant.fromNs_) {
      RecordEnd(shard, grant, std::min(aNowNs, deadlineNs_));
    }
  }
  grants_ = std::move(next);
  auto deadline = aCommand.at("deadline_ms").get<std::int64_t>() * 1'000'000;
  if (deadline != deadlineNs_ && !grants_.empty()) {
    // Lets the judge close open intervals of a server that was killed.
    recorder_.Write({ { "t", "grant-deadline" }, { "at", aNowNs }, { "until", deadline } });
  }
  deadlineNs_ = deadline;
  return true;
}

bool
GrantTable::Allows(std::string_view aShard, std::uint64_t aToken, std::int64_t aNowNs) const
{
  auto found = grants_.find(aShard);
  return found != grants_.end() && found->second.token_ == aToken && aNowNs < deadlineNs_;
}

void
GrantTable::RecordOpen() const
{
  for (const auto& [shard, grant] : grants_) {
    RecordEnd(shard, grant, deadlineNs_);
  }
}

} // namespace redwing::standins
