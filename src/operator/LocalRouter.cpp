#include "operator/LocalRouter.hpp"

#include "core/Log.hpp"
#include "operator/LocalBody.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace redwing {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kNotImplemented = 501;
constexpr std::size_t kMaximumOperationLength = 64;
constexpr std::size_t kMaximumOperatorLength = 64;

constexpr std::string_view kKeysPath = "/v1/keys/";
constexpr std::string_view kDataCentresPath = "/v1/data-centres/";

void
LogAudit(const AuditEntry& aEntry)
{
  LogLine(LogLevel::Info, "operator_action")
    .With("remote", aEntry.remote_)
    .With("operator", aEntry.operator_)
    .With("action", aEntry.action_)
    .With("operation", aEntry.operation_)
    .With("status", aEntry.status_);
}

bool
IsOperationId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaximumOperationLength &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_' || aByte == '.';
         });
}

LocalReply
NotFound()
{
  return ProblemReply(kNotFound, "not_found", "no such resource");
}

LocalReply
WrongMethod()
{
  return ProblemReply(kMethodNotAllowed, "method_not_allowed", "the resource has other methods");
}

void
CallGetter(const LocalGetter& aGetter, const LocalReplyCallback& aReply)
{
  if (aGetter) {
    aGetter(aReply);
  } else {
    aReply(ProblemReply(kNotImplemented, "not_implemented", "not available on this instance"));
  }
}

template<typename Request>
void
CallHandler(const LocalHandler<Request>& aHandler,
            Request aRequest,
            const LocalReplyCallback& aReply)
{
  if (aHandler) {
    aHandler(std::move(aRequest), aReply);
  } else {
    aReply(ProblemReply(kNotImplemented, "not_implemented", "not available on this instance"));
  }
}

/// Calls the handler with a parsed body, or answers with the findings.
template<typename Request>
void
CallParsed(const LocalHandler<Request>& aHandler,
           tl::expected<Request, Findings> aRequest,
           const LocalReplyCallback& aReply)
{
  if (aRequest) {
    CallHandler(aHandler, std::move(*aRequest), aReply);
  } else {
    aReply(ProblemReply(kUnprocessable, "invalid_body", "the body has findings", aRequest.error()));
  }
}

} // namespace

LocalRouter::LocalRouter(std::string_view aToken, LocalHandlers aHandlers, Audit aAudit)
  : hasToken_(!aToken.empty())
  , authorization_(Sha256("Bearer " + std::string(aToken)))
  , handlers_(std::move(aHandlers))
  , audit_(aAudit ? std::move(aAudit) : Audit(LogAudit))
{
}

void
LocalRouter::Handle(const LocalRequest& aRequest, LocalReplyCallback aReply)
{
  const auto target = Target::Parse(aRequest.target_);
  if (!target) {
    aReply(ProblemReply(kBadRequest, "bad_target", "malformed path or query"));
    return;
  }
  const std::string& path = target->path_;
  if (path == "/v1/announce" || path == "/v1/leave" || path == "/metrics" || path == "/healthz") {
    HandleBackend(aRequest, *target, aReply);
    return;
  }
  AuditEntry entry{ aRequest.remote_,
                    aRequest.operator_.substr(0, kMaximumOperatorLength),
                    aRequest.method_ + " " + path,
                    target->Parameter("operation").substr(0, kMaximumOperationLength),
                    0 };
  HandleOperator(aRequest,
                 *target,
                 [audit = audit_, entry = std::move(entry), reply = std::move(aReply)](
                   LocalReply aResult) mutable {
                   entry.status_ = aResult.status_;
                   audit(entry);
                   reply(std::move(aResult));
                 });
}

void
LocalRouter::HandleBackend(const LocalRequest& aRequest,
                           const Target& aTarget,
                           const LocalReplyCallback& aReply)
{
  const bool post = aTarget.path_ == "/v1/announce" || aTarget.path_ == "/v1/leave";
  if (aRequest.method_ != (post ? "POST" : "GET")) {
    aReply(WrongMethod());
  } else if (aTarget.path_ == "/v1/announce") {
    CallParsed(handlers_.announce_, Detail::ParseAnnouncement(aRequest.body_), aReply);
  } else if (aTarget.path_ == "/v1/leave") {
    CallGetter(handlers_.leave_, aReply);
  } else if (aTarget.path_ == "/metrics") {
    CallGetter(handlers_.metrics_, aReply);
  } else {
    CallGetter(handlers_.health_, aReply);
  }
}

void
LocalRouter::HandleOperator(const LocalRequest& aRequest,
                            const Target& aTarget,
                            const LocalReplyCallback& aReply)
{
  if (!hasToken_) {
    aReply(ProblemReply(kForbidden, "no_operator_token", "the instance has no operator token"));
  } else if (!Authorized(aRequest.authorization_)) {
    aReply(ProblemReply(kUnauthorized, "invalid_operator_token", "operator token required"));
  } else if (aRequest.method_ == "GET") {
    HandleRead(aTarget, aReply);
  } else if (!IsOperationId(aTarget.Parameter("operation"))) {
    aReply(ProblemReply(kBadRequest,
                        "bad_operation",
                        "query parameter operation must have 1 to 64 letters, digits, '-', '_' "
                        "or '.'"));
  } else {
    HandleChange(aRequest, aTarget, aReply);
  }
}

void
LocalRouter::HandleRead(const Target& aTarget, const LocalReplyCallback& aReply)
{
  if (aTarget.path_ == "/v1/status") {
    CallGetter(handlers_.status_, aReply);
  } else if (aTarget.path_ == "/v1/members") {
    CallGetter(handlers_.members_, aReply);
  } else if (aTarget.path_ == "/v1/configuration") {
    CallGetter(handlers_.getConfiguration_, aReply);
  } else if (aTarget.path_ == "/v1/shards") {
    const std::string service = aTarget.Parameter("service");
    if (service.empty()) {
      aReply(ProblemReply(kBadRequest, "missing_service", "query parameter service is required"));
    } else {
      CallHandler(handlers_.shards_, service, aReply);
    }
  } else {
    aReply(NotFound());
  }
}

void
LocalRouter::HandleChange(const LocalRequest& aRequest,
                          const Target& aTarget,
                          const LocalReplyCallback& aReply)
{
  const std::string& path = aTarget.path_;
  const std::string operation = aTarget.Parameter("operation");
  const bool post = aRequest.method_ == "POST";
  if (path == "/v1/configuration" && aRequest.method_ == "PUT") {
    PutConfiguration(aRequest, aTarget, aReply);
  } else if (path == "/v1/keys" && post) {
    auto request = Detail::ParseIssueKey(aRequest.body_);
    if (request) {
      request->operation_ = operation;
    }
    CallParsed(handlers_.issueKey_, std::move(request), aReply);
  } else if (path.starts_with(kKeysPath) && aRequest.method_ == "DELETE") {
    CallHandler(handlers_.withdrawKey_,
                WithdrawKeyRequest{ operation, path.substr(kKeysPath.size()) },
                aReply);
  } else if (path.starts_with(kDataCentresPath) && post) {
    const std::size_t slash = path.find('/', kDataCentresPath.size());
    const std::string verb = slash == std::string::npos ? "" : path.substr(slash);
    if (verb != "/withdraw" && verb != "/restore") {
      aReply(NotFound());
      return;
    }
    std::string id = path.substr(kDataCentresPath.size(), slash - kDataCentresPath.size());
    CallHandler(handlers_.dataCentre_,
                DataCentreRequest{ operation, std::move(id), verb == "/withdraw" },
                aReply);
  } else if (path == "/v1/drain" && post) {
    CallHandler(handlers_.drain_, DrainRequest{ operation }, aReply);
  } else if (path == "/v1/force-shard" && post) {
    auto request = Detail::ParseForceShard(aRequest.body_);
    if (request) {
      request->operation_ = operation;
    }
    CallParsed(handlers_.forceShard_, std::move(request), aReply);
  } else {
    aReply(NotFound());
  }
}

void
LocalRouter::PutConfiguration(const LocalRequest& aRequest,
                              const Target& aTarget,
                              const LocalReplyCallback& aReply)
{
  PutConfigurationRequest request{ aTarget.Parameter("operation"), {}, aRequest.body_ };
  if (aTarget.query_.contains("expect")) {
    const std::string text = aTarget.Parameter("expect");
    std::uint64_t revision = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (error != std::errc() || end != text.data() + text.size()) {
      aReply(
        ProblemReply(kBadRequest, "bad_revision", "query parameter expect must be a revision"));
      return;
    }
    request.expected_ = revision;
  }
  CallHandler(handlers_.putConfiguration_, std::move(request), aReply);
}

bool
LocalRouter::Authorized(const std::string& aAuthorization) const
{
  const auto digest = Sha256(aAuthorization);
  return EqualConstantTime(
    { reinterpret_cast<const char*>(digest.data()), digest.size() },
    { reinterpret_cast<const char*>(authorization_.data()), authorization_.size() });
}

} // namespace redwing
