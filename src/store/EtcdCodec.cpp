#include "store/EtcdCodec.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace redwing::Detail {

namespace {

using Json = nlohmann::json;

/// Thrown inside this file only; the decoders turn it into an unexpected value.
struct Malformed
{
  std::string message_;
};

/// int64 values are JSON strings; members with a default value are left out.
std::int64_t
Integer(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<std::int64_t>();
  }
  if (found->is_string()) {
    const auto& text = found->get_ref<const std::string&>();
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error == std::errc() && end == text.data() + text.size()) {
      return value;
    }
  }
  throw Malformed{ std::string(aName) + " is not an integer" };
}

std::string
Bytes(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return {};
  }
  if (found->is_string()) {
    if (auto decoded = DecodeBase64(found->get_ref<const std::string&>())) {
      return std::move(*decoded);
    }
  }
  throw Malformed{ std::string(aName) + " is not base64 text" };
}

const Json&
Object(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end() || !found->is_object()) {
    throw Malformed{ std::string(aName) + " is missing" };
  }
  return *found;
}

/// Returns the array aName, or nothing when it is left out.
const Json*
Array(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return nullptr;
  }
  if (!found->is_array()) {
    throw Malformed{ std::string(aName) + " is not an array" };
  }
  return &*found;
}

bool
Flag(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_boolean() && found->get<bool>();
}

std::uint64_t
HeaderRevision(const Json& aReply)
{
  const std::int64_t revision = Integer(Object(aReply, "header"), "revision");
  if (revision <= 0) {
    throw Malformed{ "header.revision is missing" };
  }
  return static_cast<std::uint64_t>(revision);
}

template<typename T, typename Read>
Decoded<T>
Decode(std::string_view aBody, Read aRead)
{
  const Json reply = Json::parse(aBody, nullptr, false);
  if (!reply.is_object()) {
    return tl::unexpected(std::string("reply is not a JSON object"));
  }
  try {
    return aRead(reply);
  } catch (const Malformed& malformed) {
    return tl::unexpected(malformed.message_);
  } catch (const Json::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

void
AddKeyRange(Json& aRequest, std::string_view aPrefix)
{
  // Key and range_end of one zero byte each select all keys.
  const std::string zero(1, '\0');
  aRequest["key"] = EncodeBase64(aPrefix.empty() ? zero : aPrefix);
  aRequest["range_end"] = EncodeBase64(PrefixEnd(std::string(aPrefix)));
}

} // namespace

std::string
PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty()) {
    const auto last = static_cast<unsigned char>(aPrefix.back());
    if (last != 0xFF) {
      aPrefix.back() = static_cast<char>(last + 1);
      return aPrefix;
    }
    aPrefix.pop_back();
  }
  return std::string(1, '\0');
}

std::string
EncodeRange(std::string_view aPrefix, bool aExact)
{
  Json request;
  if (aExact) {
    request["key"] = EncodeBase64(aPrefix);
  } else {
    AddKeyRange(request, aPrefix);
  }
  return request.dump();
}

std::string
EncodeTransaction(const StoreTransaction& aTransaction)
{
  Json request{ { "compare", Json::array() }, { "success", Json::array() } };
  for (const StoreCompare& compare : aTransaction.compares_) {
    request["compare"].push_back({ { "key", EncodeBase64(compare.key_) },
                                   { "target", "MOD" },
                                   { "result", "EQUAL" },
                                   { "mod_revision", std::to_string(compare.modRevision_) } });
  }
  for (const StoreWrite& write : aTransaction.writes_) {
    Json operation{ { "key", EncodeBase64(write.key_) } };
    if (!write.value_) {
      request["success"].push_back({ { "request_delete_range", operation } });
      continue;
    }
    operation["value"] = EncodeBase64(*write.value_);
    if (write.lease_ != 0) {
      operation["lease"] = std::to_string(write.lease_);
    }
    request["success"].push_back({ { "request_put", operation } });
  }
  return request.dump();
}

std::string
EncodeLeaseGrant(std::chrono::seconds aTimeToLive)
{
  return Json{ { "TTL", std::to_string(aTimeToLive.count()) } }.dump();
}

std::string
EncodeKeepAlive(std::int64_t aLease)
{
  return Json{ { "ID", std::to_string(aLease) } }.dump();
}

std::string
EncodeWatch(std::string_view aPrefix, std::uint64_t aFromRevision)
{
  Json create;
  AddKeyRange(create, aPrefix);
  create["start_revision"] = std::to_string(aFromRevision);
  return Json{ { "create_request", create } }.dump();
}

Decoded<StoreRange>
DecodeRange(std::string_view aBody)
{
  return Decode<StoreRange>(aBody, [](const Json& aReply) {
    StoreRange range;
    range.revision_ = HeaderRevision(aReply);
    if (Flag(aReply, "more")) {
      throw Malformed{ "range is incomplete" };
    }
    if (const Json* entries = Array(aReply, "kvs")) {
      for (const Json& entry : *entries) {
        range.entries_.push_back({ Bytes(entry, "key"),
                                   Bytes(entry, "value"),
                                   static_cast<std::uint64_t>(Integer(entry, "mod_revision")),
                                   Integer(entry, "lease") });
      }
    }
    return range;
  });
}

Decoded<StoreTransactionResult>
DecodeTransaction(std::string_view aBody)
{
  return Decode<StoreTransactionResult>(aBody, [](const Json& aReply) {
    return StoreTransactionResult{ Flag(aReply, "succeeded"), HeaderRevision(aReply) };
  });
}

Decoded<StoreLease>
DecodeLeaseGrant(std::string_view aBody)
{
  return Decode<StoreLease>(aBody, [](const Json& aReply) {
    const std::int64_t lease = Integer(aReply, "ID");
    if (lease == 0) {
      throw Malformed{ "ID is missing" };
    }
    return StoreLease{ lease, std::chrono::seconds(Integer(aReply, "TTL")) };
  });
}

Decoded<std::chrono::milliseconds>
DecodeKeepAlive(std::string_view aBody)
{
  return Decode<std::chrono::milliseconds>(aBody, [](const Json& aReply) {
    const std::int64_t left = Integer(Object(aReply, "result"), "TTL");
    return std::chrono::seconds(std::max<std::int64_t>(left, 0));
  });
}

Decoded<WatchMessage>
DecodeWatch(std::string_view aLine)
{
  return Decode<WatchMessage>(aLine, [](const Json& aReply) {
    const Json& result = Object(aReply, "result");
    WatchMessage message;
    if (Flag(result, "canceled")) {
      message.cancelReason_ = result.value("cancel_reason", std::string("canceled by the store"));
      return message;
    }
    if (const Json* events = Array(result, "events")) {
      for (const Json& event : *events) {
        const Json& entry = Object(event, "kv");
        StoreWatchEvent decoded;
        decoded.key_ = Bytes(entry, "key");
        decoded.modRevision_ = static_cast<std::uint64_t>(Integer(entry, "mod_revision"));
        if (event.value("type", std::string("PUT")) != "DELETE") {
          decoded.value_ = Bytes(entry, "value");
        }
        message.events_.push_back(std::move(decoded));
      }
    }
    return message;
  });
}

} // namespace redwing::Detail
