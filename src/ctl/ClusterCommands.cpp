#include "ctl/ClusterCommands.hpp"

#include <nlohmann/json.hpp>
#include <ostream>
#include <span>
#include <sstream>
#include <utility>

namespace redwing::ctl {

namespace {

using Json = nlohmann::ordered_json;

/// Returns a member for a table cell; owners are shown as `id#incarnation`.
std::string
Cell(const Json& aObject, const char* aName)
{
  const auto found = aObject.is_object() ? aObject.find(aName) : aObject.end();
  if (!aObject.is_object() || found == aObject.end() || found->is_null()) {
    return "-";
  }
  if (found->is_object()) {
    return Cell(*found, "id") + "#" + Cell(*found, "incarnation");
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

void
PrintArray(Session& aSession, const Json& aArray, const Row& aColumns)
{
  std::vector<Row> rows;
  for (const Json& entry : aArray) {
    Row row;
    for (const std::string& column : aColumns) {
      row.push_back(Cell(entry, column.c_str()));
    }
    rows.push_back(std::move(row));
  }
  aSession.PrintTable(aColumns, rows);
}

/// Prints the array aName of a reply as a table, or the reply as JSON.
Exit
PrintReply(Session& aSession, const std::string& aBody, const char* aName, const Row& aColumns)
{
  const Json reply = Json::parse(aBody, nullptr, false);
  if (!reply.is_object() || !reply.contains(aName)) {
    aSession.Err() << "redwingctl: the instance sent a reply that cannot be read\n";
    return Exit::Unknown;
  }
  if (aSession.Settings().output_ == OutputFormat::Json) {
    aSession.Out() << reply.dump() << "\n";
  } else {
    PrintArray(aSession, reply[aName], aColumns);
  }
  return Exit::Done;
}

const Row&
MemberColumns()
{
  static const Row kColumns{ "id",       "incarnation", "data_centre", "service", "state",
                             "revision", "reachable",   "lease_valid", "shards" };
  return kColumns;
}

/// A column and the metric that it shows.
using MetricColumn = std::pair<const char*, const char*>;

/// Columns of the holds, and the metrics that they show.
constexpr MetricColumn kHoldMetrics[] = {
  { "shards_granted", "redwing_shards_granted" },
  { "shards_held", "redwing_shards_held" },
  { "hold_left_ms", "redwing_hold_left_ms" },
  { "lease_left_ms", "redwing_lease_left_ms" },
  { "expired", "redwing_holds_ended_total{reason=\"expired\"}" },
  { "released", "redwing_holds_ended_total{reason=\"released\"}" },
  { "restarted", "redwing_holds_ended_total{reason=\"restarted\"}" },
  { "assumed", "redwing_holds_ended_total{reason=\"assumed\"}" },
};

/// Columns of the memory that is held and of what was done to bound it.
constexpr MetricColumn kMemoryMetrics[] = {
  { "limit", "redwing_memory_limit_bytes" },
  { "callers", "redwing_memory_held_bytes{holder=\"caller_connections\"}" },
  { "bodies", "redwing_memory_held_bytes{holder=\"request_bodies\"}" },
  { "responses", "redwing_memory_held_bytes{holder=\"responses\"}" },
  { "peer_requests", "redwing_memory_held_bytes{holder=\"peer_requests\"}" },
  { "peer_links", "redwing_memory_held_bytes{holder=\"peer_links\"}" },
  { "records", "redwing_records_bytes{kind=\"requests\"}" },
  { "kept_responses", "redwing_records_bytes{kind=\"responses\"}" },
  { "records_full", "redwing_records_full_total" },
  { "refused", "redwing_memory_actions_total{action=\"request_refused\"}" },
  { "peers_refused", "redwing_memory_actions_total{action=\"peer_request_refused\"}" },
  { "too_large", "redwing_memory_actions_total{action=\"body_too_large\"}" },
  { "stalled", "redwing_memory_actions_total{action=\"stalled_body_closed\"}" },
  { "largest", "redwing_memory_actions_total{action=\"largest_holder_closed\"}" },
  { "idle", "redwing_memory_actions_total{action=\"idle_connection_closed\"}" },
  { "timed_out", "redwing_memory_actions_total{action=\"timed_out\"}" },
};

/// Columns of the load of the server beside the instance, and of what was refused.
constexpr MetricColumn kLoadMetrics[] = {
  { "slots", "redwing_backend_slots" },
  { "limit", "redwing_backend_slot_limit" },
  { "running", "redwing_backend_running" },
  { "queued", "redwing_backend_queued" },
  { "wait_ms", "redwing_backend_wait_ms" },
  { "requests", "redwing_backend_requests_total" },
  { "met", "redwing_backend_responses_total{target=\"met\"}" },
  { "missed", "redwing_backend_responses_total{target=\"missed\"}" },
  { "refused", "redwing_backend_refused_total{outcome=\"not-run\"}" },
  { "shed", "redwing_backend_sheds_total" },
  { "shed_with_room", "redwing_backend_sheds_with_room_total" },
  { "withheld", "redwing_retries_withheld_total" },
  { "link_ahead", "redwing_link_ahead_bytes" },
  { "link_refused", "redwing_link_responses_total{admitted=\"no\"}" },
};

/// Returns the values of aColumns in Prometheus text by column, without those that it lacks.
Json
ReadMetrics(std::span<const MetricColumn> aColumns, const std::string& aMetrics)
{
  Json values = Json::object();
  std::istringstream lines(aMetrics);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t space = line.rfind(' ');
    const Json value =
      space == std::string::npos ? Json() : Json::parse(line.substr(space + 1), nullptr, false);
    for (const auto& [column, metric] : aColumns) {
      if (value.is_number() && line.compare(0, space, metric) == 0) {
        values[column] = value;
      }
    }
  }
  return values;
}

} // namespace

Exit
ClusterCommands::IssueKey(const std::string& aId, const std::string& aWorkspace)
{
  const Json body{ { "id", aId }, { "workspace", aWorkspace } };
  return session_.Change(
    "POST", "/v1/keys", body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

Exit
ClusterCommands::WithdrawKey(const std::string& aId)
{
  return session_.Change("DELETE", "/v1/keys/" + aId, {});
}

Exit
ClusterCommands::SetDataCentre(const std::string& aId, bool aWithdrawn)
{
  return session_.Change(
    "POST", "/v1/data-centres/" + aId + (aWithdrawn ? "/withdraw" : "/restore"), {});
}

Exit
ClusterCommands::Instances()
{
  return session_.Read("/v1/members", [&](const std::string& aBody) {
    return PrintReply(session_, aBody, "members", MemberColumns());
  });
}

Exit
ClusterCommands::Drain()
{
  if (session_.Settings().instances_.size() != 1) {
    session_.Err() << "redwingctl: drain needs exactly one --instance, the one to drain\n";
    return Exit::Usage;
  }
  return session_.Change("POST", "/v1/drain", {});
}

Exit
ClusterCommands::Shards(const std::string& aService)
{
  return session_.Read("/v1/shards?service=" + aService, [&](const std::string& aBody) {
    return PrintReply(
      session_, aBody, "shards", { "shard", "state", "owner", "token", "successor" });
  });
}

Exit
ClusterCommands::ForceShard(const std::string& aService, std::uint32_t aShard)
{
  const Json body{ { "service", aService }, { "shard", aShard } };
  return session_.Change(
    "POST", "/v1/force-shard", body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

Exit
ClusterCommands::Status()
{
  return session_.Read("/v1/status", [&](const std::string& aBody) {
    const Json status = Json::parse(aBody, nullptr, false);
    if (status.is_object() && session_.Settings().output_ == OutputFormat::Table) {
      const Json none;
      const Json& store = status.contains("store") ? status["store"] : none;
      const Json& worst = status.contains("worst_workspace") ? status["worst_workspace"] : none;
      session_.Out() << "revision: " << Cell(status, "revision") << "\n"
                     << "store reachable: " << Cell(store, "reachable") << "\n"
                     << "worst workspace: " << Cell(worst, "id") << " (requests "
                     << Cell(worst, "requests") << ", refused " << Cell(worst, "refused")
                     << ", unknown " << Cell(worst, "unknown") << ", p99 " << Cell(worst, "p99_ms")
                     << " ms)\n\n";
      if (status.contains("data_centres")) {
        PrintArray(session_, status["data_centres"], { "id", "withdrawn", "instances" });
        session_.Out() << "\n";
      }
    }
    return PrintReply(session_, aBody, "members", MemberColumns());
  });
}

namespace {

/// Shows aColumns of the one instance that is addressed, unless it lacks aNeeded.
Exit
ShowMetrics(Session& aSession,
            const char* aCommand,
            std::span<const MetricColumn> aColumns,
            const char* aNeeded,
            const char* aMissing)
{
  if (aSession.Settings().instances_.size() != 1) {
    aSession.Err() << "redwingctl: " << aCommand
                   << " needs exactly one --instance, the one to show\n";
    return Exit::Usage;
  }
  return aSession.Read("/metrics", [&](const std::string& aBody) {
    const Json values = ReadMetrics(aColumns, aBody);
    if (!values.contains(aNeeded)) {
      aSession.Err() << "redwingctl: " << aMissing << "\n";
      return Exit::Refused;
    }
    if (aSession.Settings().output_ == OutputFormat::Json) {
      aSession.Out() << values.dump() << "\n";
      return Exit::Done;
    }
    Row columns;
    for (const auto& [column, metric] : aColumns) {
      columns.emplace_back(column);
    }
    PrintArray(aSession, Json::array({ values }), columns);
    return Exit::Done;
  });
}

} // namespace

Exit
ClusterCommands::Rollouts()
{
  if (session_.Settings().instances_.size() != 1) {
    session_.Err() << "redwingctl: rollout status needs exactly one --instance, the one to ask\n";
    return Exit::Usage;
  }
  return session_.Read("/rollouts", [&](const std::string& aBody) {
    const Json reply = Json::parse(aBody, nullptr, false);
    if (!reply.is_object() || !reply.contains("rollouts") || !reply["rollouts"].is_array()) {
      session_.Err() << "redwingctl: the instance has no rollouts\n";
      return Exit::Refused;
    }
    if (session_.Settings().output_ == OutputFormat::Json) {
      session_.Out() << reply.dump() << "\n";
      return Exit::Done;
    }
    session_.Out() << "leader: " << Cell(reply, "leader") << "\n";
    PrintArray(session_,
               reply["rollouts"],
               { "service",
                 "version",
                 "phase",
                 "share",
                 "targets",
                 "reason",
                 "requests",
                 "target_requests" });
    for (const Json& rollout : reply["rollouts"]) {
      if (rollout.is_object() && rollout.contains("routes") && rollout["routes"].is_array()) {
        session_.Out() << "\nroutes of " << Cell(rollout, "service") << "\n";
        PrintArray(session_, rollout["routes"], { "route", "side", "requests", "failures" });
      }
    }
    return Exit::Done;
  });
}

Exit
ClusterCommands::Holds()
{
  return ShowMetrics(session_, "holds", kHoldMetrics, "shards_held", "the instance keeps no holds");
}

Exit
ClusterCommands::Load()
{
  return ShowMetrics(
    session_, "load", kLoadMetrics, "slots", "the instance does not tell the load of its server");
}

Exit
ClusterCommands::Memory()
{
  return ShowMetrics(
    session_, "memory", kMemoryMetrics, "limit", "the instance does not account for memory");
}

} // namespace redwing::ctl
