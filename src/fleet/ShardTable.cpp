#include "fleet/ShardTable.hpp"

#include "fleet/JsonInteger.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace redwing {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kRunFields = 7;
/// Each instance keeps a state for each shard of its service.
constexpr std::uint32_t kMostShards = 65536;

/// Reads a run of shards; returns nothing if aRun is something else.
std::optional<ShardRun>
ReadRun(const Json& aRun)
{
  if (!aRun.is_array() || aRun.size() != kRunFields) {
    return std::nullopt;
  }
  const auto first = IntegerOf<std::uint32_t>(aRun[0]);
  const auto last = IntegerOf<std::uint32_t>(aRun[1]);
  const auto token = IntegerOf<std::uint64_t>(aRun[4]);
  if (!first || !last || !token || !aRun[2].is_string() || !aRun[3].is_string() ||
      !aRun[5].is_string() || !aRun[6].is_string()) {
    return std::nullopt;
  }
  return ShardRun{ *first,
                   *last,
                   { aRun[2].get<std::string>(), aRun[3].get<std::string>() },
                   *token,
                   aRun[5].get<std::string>(),
                   aRun[6].get<std::string>() };
}

} // namespace

ShardTable::ShardTable(std::uint32_t aShards)
  : shards_(aShards)
  , runs_{ ShardRun{ 0, aShards - 1, {}, 0, {}, {} } }
{
}

tl::expected<ShardTable, std::string>
ShardTable::Parse(std::string_view aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  if (!json.is_object() || !json.contains("shards") || !json.contains("token") ||
      !json.contains("runs") || !json["runs"].is_array()) {
    return tl::unexpected(std::string("is not an object with shards, token and runs"));
  }
  const auto shards = IntegerOf<std::uint32_t>(json["shards"]);
  const auto token = IntegerOf<std::uint64_t>(json["token"]);
  const auto epoch = IntegerOf<std::uint64_t>(json.value("epoch", Json(0U)));
  if (!shards || *shards < 1 || *shards > kMostShards || !token || !epoch) {
    return tl::unexpected(std::string("shards, token or epoch is not a number in its range"));
  }
  ShardTable table(*shards);
  table.lastToken_ = *token;
  table.epoch_ = *epoch;
  const auto settled = json.find("settled");
  table.settled_ = settled == json.end() || *settled != false;
  table.runs_.clear();
  std::uint32_t next = 0;
  for (const Json& item : json["runs"]) {
    const std::string place = "runs/" + std::to_string(table.runs_.size());
    const auto read = ReadRun(item);
    if (!read) {
      return tl::unexpected(place + " is not a run of shards");
    }
    const ShardRun& run = *read;
    if (run.first_ != next || run.last_ < run.first_ || run.last_ >= table.shards_ ||
        run.token_ > table.lastToken_) {
      return tl::unexpected(place + " does not continue the run before it");
    }
    next = run.last_ + 1;
    table.runs_.push_back(run);
  }
  if (next != table.shards_) {
    return tl::unexpected(std::string("runs do not cover all shards"));
  }
  return table;
}

std::string
ShardTable::ToText() const
{
  Json runs = Json::array();
  for (const ShardRun& run : runs_) {
    runs.push_back({ run.first_,
                     run.last_,
                     run.holder_.instanceId_,
                     run.holder_.serverIncarnation_,
                     run.token_,
                     run.successor_,
                     run.handover_ });
  }
  return Json{
    { "shards", shards_ },
    { "token", lastToken_ },
    { "epoch", epoch_ },
    { "settled", settled_ },
    { "runs", std::move(runs) }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const ShardRun&
ShardTable::At(std::uint32_t aShard) const
{
  const auto after = std::upper_bound(
    runs_.begin(), runs_.end(), aShard, [](std::uint32_t aLeft, const ShardRun& aRight) {
      return aLeft < aRight.first_;
    });
  return *std::prev(after);
}

void
ShardTable::Assign(std::uint32_t aFirst,
                   std::uint32_t aLast,
                   const ShardHolder& aHolder,
                   std::string aHandover)
{
  const std::size_t begin = SplitAt(aFirst);
  const std::size_t end = SplitAt(aLast + 1);
  runs_[begin] = { aFirst, aLast, aHolder, ++lastToken_, {}, std::move(aHandover) };
  runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(begin) + 1,
              runs_.begin() + static_cast<std::ptrdiff_t>(end));
}

void
ShardTable::SetSuccessor(std::uint32_t aFirst, std::uint32_t aLast, const std::string& aInstanceId)
{
  const std::size_t begin = SplitAt(aFirst);
  const std::size_t end = SplitAt(aLast + 1);
  for (std::size_t i = begin; i < end; ++i) {
    runs_[i].successor_ = aInstanceId;
  }
  Merge();
}

void
ShardTable::SkipTokens(std::uint64_t aStep, bool aReassign)
{
  lastToken_ += aStep;
  for (ShardRun& run : runs_) {
    if (aReassign && !run.holder_.Empty()) {
      run.token_ += aStep;
    }
  }
}

std::vector<ShardRun>
ShardTable::ChangesTo(const ShardTable& aNext) const
{
  std::vector<ShardRun> changes;
  for (const ShardRun& run : aNext.runs_) {
    for (std::uint32_t first = run.first_; first <= run.last_;) {
      const ShardRun& present = At(first);
      const std::uint32_t last = std::min(run.last_, present.last_);
      if (!present.SameState(run)) {
        const bool joins =
          !changes.empty() && changes.back().last_ + 1 == first && changes.back().SameState(run);
        if (!joins) {
          changes.push_back(run);
          changes.back().first_ = first;
        }
        changes.back().last_ = last;
      }
      first = last + 1;
    }
  }
  return changes;
}

bool
ShardTable::Apply(std::span<const ShardRun> aChanges)
{
  const bool valid = std::all_of(aChanges.begin(), aChanges.end(), [&](const ShardRun& aRun) {
    return aRun.first_ <= aRun.last_ && aRun.last_ < shards_;
  });
  if (!valid) {
    return false;
  }
  for (const ShardRun& change : aChanges) {
    const std::size_t begin = SplitAt(change.first_);
    const std::size_t end = SplitAt(change.last_ + 1);
    runs_[begin] = change;
    runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(begin) + 1,
                runs_.begin() + static_cast<std::ptrdiff_t>(end));
    lastToken_ = std::max(lastToken_, change.token_);
  }
  Merge();
  return true;
}

std::size_t
ShardTable::SplitAt(std::uint32_t aShard)
{
  const auto run = std::find_if(
    runs_.begin(), runs_.end(), [&](const ShardRun& aRun) { return aRun.last_ >= aShard; });
  if (run == runs_.end() || run->first_ == aShard) {
    return static_cast<std::size_t>(run - runs_.begin());
  }
  ShardRun tail = *run;
  tail.first_ = aShard;
  run->last_ = aShard - 1;
  const auto inserted = runs_.insert(run + 1, std::move(tail));
  return static_cast<std::size_t>(inserted - runs_.begin());
}

void
ShardTable::Merge()
{
  std::vector<ShardRun> merged;
  for (ShardRun& run : runs_) {
    if (!merged.empty() && merged.back().SameState(run)) {
      merged.back().last_ = run.last_;
    } else {
      merged.push_back(std::move(run));
    }
  }
  runs_ = std::move(merged);
}

} // namespace redwing
