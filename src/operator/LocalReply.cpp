#include "operator/LocalReply.hpp"

#include <nlohmann/json.hpp>

namespace redwing {

using Json = nlohmann::ordered_json;

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
  for (const Finding& finding : aFindings) {
    problem["findings"].push_back({ { "place", finding.place_ }, { "message", finding.message_ } });
  }
  // Details may quote the request, which need not be valid UTF-8.
  return { aStatus,
           "application/problem+json",
           problem.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

} // namespace redwing
