#include "operator/LocalReply.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace redwing {

using Json = nlohmann::ordered_json;

namespace {

/// A document of 900 kB can have 117,000 findings, which made a reply of 11.9 MB.
constexpr std::size_t kMaxFindings = 1000;

} // namespace

LocalReply
JsonReply(std::string aBody)
{
  constexpr unsigned kOk = 200;
  return { kOk, "application/json", std::move(aBody) };
}

LocalReply
ProblemReply(unsigned aStatus,
             std::string_view aCode,
             std::string_view aDetail,
             const Findings& aFindings)
{
  Json problem{ { "type", "about:blank" },
                { "title", aCode },
                { "status", aStatus },
                { "code", aCode },
                { "detail", aDetail } };
  const auto add = [&](const std::string& aPlace, const std::string& aMessage) {
    problem["findings"].push_back({ { "place", aPlace }, { "message", aMessage } });
  };
  const std::size_t shown = std::min(aFindings.size(), kMaxFindings);
  for (std::size_t i = 0; i < shown; ++i) {
    add(aFindings[i].place_, aFindings[i].message_);
  }
  if (shown < aFindings.size()) {
    add("", std::to_string(aFindings.size() - shown) + " more findings");
  }
  // Details may quote the request, which need not be valid UTF-8.
  return { aStatus,
           "application/problem+json",
           problem.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

} // namespace redwing
