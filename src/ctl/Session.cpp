#include "ctl/Session.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>
#include <utility>

namespace redwing::ctl {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned kOk = 200;
/// The change was accepted and is carried out after the reply, such as a drain.
constexpr unsigned kAccepted = 202;
constexpr unsigned kNotImplemented = 501;
constexpr unsigned kFirstServerError = 500;
/// A change takes about a second to reach all instances.
constexpr std::chrono::milliseconds kPollInterval{ 200 };

std::string
TextMember(const Json& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t
NumberMember(const Json& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

/// Members that are listed and have not reached a revision.
struct Progress
{
  std::size_t members_ = 0;
  std::vector<std::string> behind_;
};

Progress
ReadProgress(const std::string& aBody, std::uint64_t aRevision)
{
  Progress progress;
  const Json status = Json::parse(aBody, nullptr, false);
  if (status.is_object() && status.contains("members") && status["members"].is_array()) {
    for (const Json& member : status["members"]) {
      ++progress.members_;
      if (NumberMember(member, "revision") < aRevision) {
        progress.behind_.push_back(TextMember(member, "id"));
      }
    }
  }
  return progress;
}

} // namespace

Session::Session(CtlSettings aSettings,
                 Transport aTransport,
                 std::ostream& aOut,
                 std::ostream& aErr)
  : settings_(std::move(aSettings))
  , transport_(std::move(aTransport))
  , out_(aOut)
  , err_(aErr)
  , pause_([] { std::this_thread::sleep_for(kPollInterval); })
{
}

Exit
Session::Read(const std::string& aTarget, const std::function<Exit(const std::string&)>& aUse)
{
  const CtlResult result = transport_({ "GET", aTarget, {} });
  if (!result) {
    return ReportError(result.error(), false);
  }
  if (result->status_ != kOk) {
    return ReportProblem(*result, false);
  }
  return aUse(result->body_);
}

Exit
Session::Change(const std::string& aMethod, const std::string& aTarget, const std::string& aBody)
{
  const char* separator = aTarget.find('?') == std::string::npos ? "?" : "&";
  const CtlResult result =
    transport_({ aMethod, aTarget + separator + "operation=" + settings_.operation_, aBody });
  if (!result) {
    return ReportError(result.error(), true);
  }
  if (result->status_ != kOk && result->status_ != kAccepted) {
    return ReportProblem(*result, true);
  }
  const Json reply = Json::parse(result->body_, nullptr, false);
  if (!reply.is_object()) {
    return ReportError({ true, "malformed reply" }, true);
  }
  if (settings_.output_ == OutputFormat::Json) {
    out_ << reply.dump() << "\n";
  } else {
    for (const auto& [name, value] : reply.items()) {
      out_ << name << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
    }
  }
  out_.flush();
  const std::uint64_t revision = NumberMember(reply, "revision");
  return settings_.wait_ && revision != 0 ? WaitFor(revision) : Exit::Done;
}

Exit
Session::WaitFor(std::uint64_t aRevision)
{
  const auto polls = std::chrono::milliseconds(settings_.waitTimeout_) / kPollInterval;
  std::string last;
  for (std::int64_t i = 0; i <= polls; ++i) {
    const CtlResult result = transport_({ "GET", "/v1/status", {} });
    std::string line = result ? "" : "status: " + result.error().message_;
    if (result && result->status_ == kOk) {
      const Progress progress = ReadProgress(result->body_, aRevision);
      const std::size_t there = progress.members_ - progress.behind_.size();
      line = "revision " + std::to_string(aRevision) + ": " + std::to_string(there) + " of " +
             std::to_string(progress.members_) + " instances";
      if (progress.members_ != 0 && progress.behind_.empty()) {
        err_ << line << "\n";
        return Exit::Done;
      }
      if (!progress.behind_.empty()) {
        line += ", waiting for " + progress.behind_.front();
      }
    } else if (result) {
      line = "status: HTTP " + std::to_string(result->status_);
    }
    if (line != last) {
      err_ << line << std::endl;
      last = line;
    }
    pause_();
  }
  err_ << "redwingctl: the change is stored, but not every instance has confirmed it\n";
  return Exit::Unknown;
}

void
Session::PrintTable(const Row& aHead, const std::vector<Row>& aRows)
{
  std::vector<std::size_t> widths;
  for (std::size_t column = 0; column < aHead.size(); ++column) {
    std::size_t width = aHead[column].size();
    for (const Row& row : aRows) {
      width = std::max(width, row[column].size());
    }
    widths.push_back(width);
  }
  const auto print = [&](const Row& aRow) {
    std::string line;
    for (std::size_t column = 0; column < aRow.size(); ++column) {
      line += aRow[column];
      if (column + 1 < aRow.size()) {
        line.append(widths[column] - aRow[column].size() + 2, ' ');
      }
    }
    out_ << line << "\n";
  };
  print(aHead);
  std::for_each(aRows.begin(), aRows.end(), print);
}

Exit
Session::ReportError(const CtlError& aError, bool aChange)
{
  err_ << "redwingctl: " << aError.message_ << "\n";
  if (aChange && aError.sent_) {
    err_ << "redwingctl: the outcome is unknown; repeat the command with --operation "
         << settings_.operation_ << "\n";
  } else if (aChange) {
    err_ << "redwingctl: nothing was changed\n";
  }
  return Exit::Unknown;
}

Exit
Session::ReportProblem(const CtlReply& aReply, bool aChange)
{
  const Json problem = Json::parse(aReply.body_, nullptr, false);
  const std::string code = problem.is_object() ? TextMember(problem, "code") : std::string();
  if (settings_.output_ == OutputFormat::Json && problem.is_object()) {
    out_ << problem.dump() << "\n";
  }
  err_ << "redwingctl: HTTP " << aReply.status_ << " " << code;
  if (problem.is_object()) {
    err_ << ": " << TextMember(problem, "detail") << "\n";
    for (const Json& finding : problem.value("findings", Json::array())) {
      err_ << "  " << TextMember(finding, "place") << ": " << TextMember(finding, "message")
           << "\n";
    }
    for (const char* side : { "ours", "theirs" }) {
      for (const Json& change : problem.value(side, Json::array())) {
        err_ << "  " << side << ": " << TextMember(change, "kind") << " "
             << TextMember(change, "place") << "\n";
      }
    }
    for (const Json& place : problem.value("conflicts", Json::array())) {
      err_ << "  conflict: " << place.dump() << "\n";
    }
  } else {
    err_ << "\n";
  }
  if (aReply.status_ < kFirstServerError || aReply.status_ == kNotImplemented) {
    return Exit::Refused;
  }
  // Any 5xx but a clear "store unavailable" may come after the change took effect.
  return ReportError({ code != "store_unavailable", "no result from the instance" }, aChange);
}

} // namespace redwing::ctl
