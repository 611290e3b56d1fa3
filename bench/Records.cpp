#include "Records.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace redwing::bench {

using Json = nlohmann::json;

namespace {

/// Builds records from the lines of one server.
class Reader
{
public:
  Reader(std::size_t aServer, Records& aRecords)
    : server_(aServer)
    , records_(aRecords)
  {
  }

  void Line(const Json& aLine)
  {
    const auto type = aLine.value("t", "");
    if (type == "run") {
      StartRun(aLine);
    } else if (type == "end") {
      auto& run = records_.runs_[running_.at(aLine.at("n"))];
      run.endNs_ = aLine.at("end");
      run.complete_ = aLine.at("complete");
    } else if (type == "grant-from") {
      open_[aLine.at("shard")] =
        GrantInterval{ server_, aLine.at("shard"), aLine.at("token"), aLine.at("from"), 0 };
    } else if (type == "grant-deadline") {
      deadlineNs_ = std::max(deadlineNs_, aLine.at("until").get<std::int64_t>());
    } else if (type == "grant") {
      EndGrant(
        { server_, aLine.at("shard"), aLine.at("token"), aLine.at("from"), aLine.at("until") });
      CloseGrant(aLine.at("shard"), aLine.at("from"));
    } else if (type == "collapse") {
      ++records_.collapses_;
    } else if (type == "crash") {
      ++records_.crashes_;
    } else if (type == "caller-key") {
      ++records_.callerKeysSeen_;
    }
  }

  /// A killed server leaves intervals open; they end at its last deadline.
  void Finish()
  {
    for (auto& [shard, interval] : open_) {
      interval.untilNs_ = deadlineNs_;
      records_.grants_.push_back(interval);
    }
  }

private:
  /// A server that is told to stop records its open grants until their deadline, and records them
  /// again if they are revoked before it exits; the earlier end counts.
  void EndGrant(const GrantInterval& aInterval)
  {
    const auto [place, inserted] =
      ended_.try_emplace({ aInterval.shard_, aInterval.fromNs_ }, records_.grants_.size());
    if (inserted) {
      records_.grants_.push_back(aInterval);
      return;
    }
    auto& known = records_.grants_[place->second];
    known.untilNs_ = std::min(known.untilNs_, aInterval.untilNs_);
  }

  void StartRun(const Json& aLine)
  {
    running_[aLine.at("n")] = records_.runs_.size();
    auto& run = records_.runs_.emplace_back();
    run.server_ = server_;
    run.loadId_ = aLine.at("load_id");
    run.shard_ = aLine.at("shard");
    run.workspace_ = aLine.at("workspace");
    run.token_ = aLine.at("token");
    run.startNs_ = aLine.at("start");
    records_.runsByLoadId_[run.loadId_].push_back(records_.runs_.size() - 1);
  }

  void CloseGrant(const std::string& aShard, std::int64_t aFrom)
  {
    auto found = open_.find(aShard);
    // The interval that replaces this one may be open already.
    if (found != open_.end() && found->second.fromNs_ == aFrom) {
      open_.erase(found);
    }
  }

  std::size_t server_;
  Records& records_;
  std::map<std::uint64_t, std::size_t> running_;
  std::map<std::string, GrantInterval> open_;
  std::map<std::pair<std::string, std::int64_t>, std::size_t> ended_;
  std::int64_t deadlineNs_ = 0;
};

} // namespace

void
ReadRecords(const std::filesystem::path& aFile, std::size_t aServer, Records& aRecords)
{
  Reader reader(aServer, aRecords);
  std::ifstream input(aFile);
  for (std::string line; std::getline(input, line);) {
    auto json = Json::parse(line, nullptr, false);
    // A server killed while it writes leaves a partial last line.
    if (json.is_object()) {
      reader.Line(json);
    }
  }
  reader.Finish();
}

std::vector<OutcomeRecord>
ReadOutcomes(const std::filesystem::path& aFile)
{
  std::vector<OutcomeRecord> result;
  std::ifstream input(aFile);
  for (std::string line; std::getline(input, line);) {
    auto json = Json::parse(line);
    auto& item = result.emplace_back();
    json.at("load_id").get_to(item.loadId_);
    json.at("workspace").get_to(item.workspace_);
    json.at("key").get_to(item.key_);
    json.at("outcome").get_to(item.outcome_);
    json.at("code").get_to(item.code_);
    json.at("idempotent").get_to(item.idempotent_);
    json.at("status").get_to(item.status_);
    json.at("unknown_before").get_to(item.unknownBefore_);
    json.at("scheduled").get_to(item.scheduledNs_);
    json.at("done").get_to(item.doneNs_);
  }
  return result;
}

} // namespace redwing::bench
