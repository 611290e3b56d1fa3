#include "operator/ConfigurationOperations.hpp"

#include "config/ConfigurationParser.hpp"
#include "config/ConfigurationWriter.hpp"
#include "core/Hash.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <stdexcept>
#include <utility>

namespace redwing {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned kConflict = 409;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kServiceUnavailable = 503;
/// 192 random bits.
constexpr std::size_t kKeyBytes = 24;

const char*
ToText(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::Added:
      return "added";
    case ChangeKind::Removed:
      return "removed";
    case ChangeKind::Changed:
      break;
  }
  return "changed";
}

Json
ToJson(const std::vector<ConfigurationChange>& aChanges)
{
  Json array = Json::array();
  for (const ConfigurationChange& change : aChanges) {
    Json entry{ { "kind", ToText(change.kind_) }, { "place", change.place_ } };
    if (!change.before_.empty()) {
      entry["before"] = Json::parse(change.before_);
    }
    if (!change.after_.empty()) {
      entry["after"] = Json::parse(change.after_);
    }
    array.push_back(std::move(entry));
  }
  return array;
}

LocalReply
ConflictReply(const EditConflict& aConflict)
{
  LocalReply reply = ProblemReply(
    kConflict, "revision_conflict", "the configuration is not at the expected revision");
  Json body = Json::parse(reply.body_);
  body["revision"] = aConflict.revision_;
  body["base_known"] = aConflict.baseKnown_;
  body["ours"] = ToJson(aConflict.difference_.ours_);
  body["theirs"] = ToJson(aConflict.difference_.theirs_);
  body["conflicts"] = aConflict.difference_.conflicts_;
  reply.body_ = body.dump();
  return reply;
}

/// Returns the reply for every result but EditStored.
LocalReply
FailureReply(const EditResult& aResult)
{
  if (const auto* refused = std::get_if<EditRefused>(&aResult)) {
    return ProblemReply(kUnprocessable,
                        "invalid_configuration",
                        "the configuration has findings",
                        refused->findings_);
  }
  if (const auto* conflict = std::get_if<EditConflict>(&aResult)) {
    return ConflictReply(*conflict);
  }
  if (const auto* unavailable = std::get_if<EditUnavailable>(&aResult)) {
    return ProblemReply(kServiceUnavailable, "store_unavailable", unavailable->message_);
  }
  const auto* unknown = std::get_if<EditUnknown>(&aResult);
  return ProblemReply(
    kServiceUnavailable, "outcome_unknown", unknown == nullptr ? "" : unknown->message_);
}

Json
StoredJson(const EditStored& aStored, const std::string& aOperation)
{
  return { { "revision", aStored.revision_ }, { "operation", aOperation } };
}

EditCallback
ReplyWith(std::string aOperation, LocalReplyCallback aReply)
{
  return [operation = std::move(aOperation), reply = std::move(aReply)](const EditResult& aResult) {
    const auto* stored = std::get_if<EditStored>(&aResult);
    reply(stored != nullptr ? JsonReply(StoredJson(*stored, operation).dump())
                            : FailureReply(aResult));
  };
}

/// Replies with the plain key only if the stored hash is that of this request's key. An earlier
/// request with the same operation id stored another key, which is known to its caller only.
EditCallback
ReplyWithKey(std::string aOperation, CallerKey aKey, std::string aPlain, LocalReplyCallback aReply)
{
  return [operation = std::move(aOperation),
          key = std::move(aKey),
          plain = std::move(aPlain),
          reply = std::move(aReply)](const EditResult& aResult) {
    const auto* stored = std::get_if<EditStored>(&aResult);
    if (stored == nullptr) {
      reply(FailureReply(aResult));
      return;
    }
    const auto& keys = stored->configuration_.keys_;
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
      reply(ProblemReply(kConflict,
                         "key_issued_before",
                         "an earlier request with this operation id issued the key, or it was "
                         "withdrawn since; withdraw it and issue another"));
      return;
    }
    Json body = StoredJson(*stored, operation);
    body["id"] = key.id_;
    body["workspace"] = key.workspace_;
    body["key"] = plain;
    reply(JsonReply(body.dump()));
  };
}

} // namespace

ConfigurationOperations::ConfigurationOperations(ConfigurationEditor& aEditor,
                                                 Post aPost,
                                                 MakeKey aMakeKey)
  : editor_(aEditor)
  , post_(std::move(aPost))
  , makeKey_(std::move(aMakeKey))
{
}

void
ConfigurationOperations::Install(LocalHandlers& aHandlers) const
{
  ConfigurationEditor* editor = &editor_;
  aHandlers.getConfiguration_ = [editor, post = post_](LocalReplyCallback aReply) {
    post([editor, reply = std::move(aReply)] {
      editor->Read([reply](StoreResult<ConfigurationRevision> aResult) {
        if (!aResult) {
          reply(ProblemReply(kServiceUnavailable, "store_unavailable", aResult.error().message_));
          return;
        }
        const Json body{ { "revision", aResult->revision_ },
                         { "operation", aResult->operationId_ },
                         { "document",
                           Json::parse(ConfigurationWriter::Write(aResult->configuration_)) } };
        reply(JsonReply(body.dump()));
      });
    });
  };
  aHandlers.putConfiguration_ = [editor, post = post_](const PutConfigurationRequest& aRequest,
                                                       const LocalReplyCallback& aReply) {
    auto parsed = ConfigurationParser::Parse(aRequest.document_);
    if (!parsed) {
      aReply(FailureReply(EditRefused{ std::move(parsed.error()) }));
      return;
    }
    post([editor,
          operation = aRequest.operation_,
          expected = aRequest.expected_,
          configuration = std::move(*parsed),
          reply = aReply] {
      editor->Apply(operation, expected, configuration, ReplyWith(operation, reply));
    });
  };
  aHandlers.dataCentre_ = [editor, post = post_](DataCentreRequest aRequest,
                                                 LocalReplyCallback aReply) {
    post([editor, request = std::move(aRequest), reply = std::move(aReply)] {
      editor->Mutate(request.operation_,
                     SetDataCentreWithdrawn(request.id_, request.withdrawn_),
                     ReplyWith(request.operation_, reply));
    });
  };
  InstallKeys(aHandlers);
}

void
ConfigurationOperations::InstallKeys(LocalHandlers& aHandlers) const
{
  ConfigurationEditor* editor = &editor_;
  aHandlers.issueKey_ = [editor, post = post_, makeKey = makeKey_](IssueKeyRequest aRequest,
                                                                   LocalReplyCallback aReply) {
    std::string plain = makeKey();
    CallerKey key{ aRequest.id_, aRequest.workspace_, ToHex(Sha256(plain)) };
    post([editor,
          operation = std::move(aRequest.operation_),
          key = std::move(key),
          plain = std::move(plain),
          reply = std::move(aReply)] {
      editor->Mutate(operation, AddKey(key), ReplyWithKey(operation, key, plain, reply));
    });
  };
  aHandlers.withdrawKey_ = [editor, post = post_](WithdrawKeyRequest aRequest,
                                                  LocalReplyCallback aReply) {
    post([editor, request = std::move(aRequest), reply = std::move(aReply)] {
      editor->Mutate(
        request.operation_, WithdrawKey(request.id_), ReplyWith(request.operation_, reply));
    });
  };
}

std::string
ConfigurationOperations::RandomKey()
{
  std::array<unsigned char, kKeyBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("no random numbers available");
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 0xF;
  std::string key = "rw_";
  for (const unsigned char byte : bytes) {
    key += kDigits[byte >> kNibbleBits];
    key += kDigits[byte & kNibbleMask];
  }
  return key;
}

} // namespace redwing
