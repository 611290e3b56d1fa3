#include "peer/FrameCodec.hpp"

#include "core/Hash.hpp"
#include "core/WireArchive.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <iterator>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <utility>

namespace redwing {

namespace {

/// Times of other clocks beyond this are taken as this, so that differences stay in range.
constexpr std::int64_t kMaxClock = Duration(std::chrono::hours(24 * 365 * 100)).count();

template<typename T>
void
Optional(WireOutput& aArchive, std::optional<T>& aValue)
{
  aArchive(aValue.has_value());
  if (aValue) {
    aArchive(*aValue);
  }
}

template<typename T>
void
Optional(WireInput& aArchive, std::optional<T>& aValue)
{
  bool present = false;
  aArchive(present);
  aValue.reset();
  if (present) {
    aArchive(aValue.emplace());
  }
}

void
Headers(WireOutput& aArchive, HeaderList& aHeaders)
{
  aArchive(static_cast<std::uint32_t>(aHeaders.size()));
  for (const auto& header : aHeaders) {
    aArchive(header.name_, header.value_);
  }
}

void
Headers(WireInput& aArchive, HeaderList& aHeaders)
{
  std::uint32_t count = 0;
  aArchive(count);
  // Each header takes at least two length fields, which bounds the allocation.
  constexpr std::size_t kLeastHeaderBytes = 8;
  if (count > aArchive.Left() / kLeastHeaderBytes) {
    throw WireError("header count exceeds the message");
  }
  aHeaders.resize(count);
  for (auto& header : aHeaders) {
    aArchive(header.name_, header.value_);
  }
}

void
Deadline(WireOutput& aArchive, TimePoint& aDeadline)
{
  aArchive(static_cast<std::int64_t>((aDeadline - aArchive.Now()).count()));
}

void
Deadline(WireInput& aArchive, TimePoint& aDeadline)
{
  // A day bounds hostile values, which would overflow the time point otherwise.
  constexpr std::int64_t kMaxRemaining = Duration(std::chrono::hours(24)).count();
  std::int64_t remaining = 0;
  aArchive(remaining);
  aDeadline = aArchive.Now() + Duration(std::clamp(remaining, -kMaxRemaining, kMaxRemaining));
}

template<typename Enum>
void
Enumerator(WireOutput& aArchive, Enum& aValue, Enum /*aLast*/)
{
  aArchive(static_cast<std::uint8_t>(aValue));
}

template<typename Enum>
void
Enumerator(WireInput& aArchive, Enum& aValue, Enum aLast)
{
  std::uint8_t number = 0;
  aArchive(number);
  if (number > static_cast<std::uint8_t>(aLast)) {
    throw WireError("enumerator out of range");
  }
  aValue = static_cast<Enum>(number);
}

} // namespace

template<typename Archive>
void
serialize(Archive& aArchive, ShardTarget& aValue)
{
  aArchive(aValue.shard_, aValue.token_);
}

template<typename Archive>
void
serialize(Archive& aArchive, LoadReport& aValue)
{
  aArchive(aValue.running_, aValue.queued_, aValue.slots_, aValue.serviceTimeUs_);
}

// The link id is a matter of the receiver and is not sent.
template<typename Archive>
void
serialize(Archive& aArchive, ExchangeKey& aValue)
{
  aArchive(aValue.exchangeId_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RequestStart& aValue)
{
  aArchive(aValue.key_,
           aValue.requestId_,
           aValue.service_,
           aValue.workspace_,
           aValue.method_,
           aValue.target_);
  Headers(aArchive, aValue.headers_);
  Deadline(aArchive, aValue.deadline_);
  aArchive(aValue.priority_, aValue.weight_, aValue.idempotent_, aValue.idempotencyKey_);
  aArchive(aValue.fingerprint_);
  Optional(aArchive, aValue.shard_);
  Optional(aArchive, aValue.contentLength_);
  aArchive(aValue.body_, aValue.last_, aValue.configurationRevision_, aValue.keyId_);
  Deadline(aArchive, aValue.targetTime_);
  aArchive(aValue.class_);
  Deadline(aArchive, aValue.answerBy_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RequestBody& aValue)
{
  aArchive(aValue.key_, aValue.bytes_, aValue.last_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RequestCancel& aValue)
{
  aArchive(aValue.key_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RequestRecall& aValue)
{
  aArchive(aValue.key_);
}

template<typename Archive>
void
serialize(Archive& aArchive, ResponseCredit& aValue)
{
  aArchive(aValue.key_, aValue.bytes_);
}

template<typename Archive>
void
serialize(Archive& aArchive, ResponseStart& aValue)
{
  aArchive(aValue.key_, aValue.status_);
  Headers(aArchive, aValue.headers_);
  Optional(aArchive, aValue.contentLength_);
  aArchive(aValue.body_, aValue.last_, aValue.load_);
}

template<typename Archive>
void
serialize(Archive& aArchive, ResponseBody& aValue)
{
  aArchive(aValue.key_, aValue.bytes_, aValue.last_);
}

template<typename Archive>
void
serialize(Archive& aArchive, ResponseAbort& aValue)
{
  aArchive(aValue.key_);
}

template<typename Archive>
void
serialize(Archive& aArchive, Refusal& aValue)
{
  aArchive(aValue.key_);
  Enumerator(aArchive, aValue.outcome_, Outcome::Unknown);
  Enumerator(aArchive, aValue.code_, ErrorCode::Cancelled);
  aArchive(aValue.detail_);
  Optional(aArchive, aValue.retryAfterMs_);
  aArchive(aValue.ownerHint_, aValue.ownerToken_, aValue.load_, aValue.reachedServer_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RequestCredit& aValue)
{
  aArchive(aValue.key_, aValue.bytes_);
}

template<typename Archive>
void
serialize(Archive& aArchive, CallRequest& aValue)
{
  aArchive(aValue.callId_, aValue.payload_);
}

template<typename Archive>
void
serialize(Archive& aArchive, CallReply& aValue)
{
  aArchive(aValue.callId_, aValue.payload_);
}

template<typename Archive>
void
serialize(Archive& aArchive, Ping& aValue)
{
  aArchive(aValue.number_);
}

template<typename Archive>
void
serialize(Archive& aArchive, Pong& aValue)
{
  aArchive(aValue.number_);
}

namespace {

/// A message that carries a LoadReport.
template<typename T>
concept HasLoad = requires(T aMessage)
{
  aMessage.load_.byteWaitUs_;
};

using MessageLoader = LinkMessage (*)(WireInput&, std::uint32_t);

template<std::size_t Index>
LinkMessage
LoadMessage(WireInput& aArchive, std::uint32_t aAdditions)
{
  std::variant_alternative_t<Index, LinkMessage> message;
  aArchive(message);
  if constexpr (HasLoad<decltype(message)>) {
    if ((aAdditions & kByteTimes) != 0) {
      aArchive(message.load_.byteWaitUs_, message.load_.byteTimeUs_);
    }
  }
  return message;
}

template<std::size_t... Indices>
constexpr auto
MakeLoaders(std::index_sequence<Indices...> /*aIndices*/)
{
  return std::array<MessageLoader, sizeof...(Indices)>{ &LoadMessage<Indices>... };
}

constexpr auto kLoaders = MakeLoaders(std::make_index_sequence<std::variant_size_v<LinkMessage>>());

void
AppendLength(std::string& aTarget, std::size_t aLength)
{
  const auto length = static_cast<std::uint32_t>(aLength);
  aTarget.append(reinterpret_cast<const char*>(&length), sizeof(length));
}

} // namespace

std::string_view
ToText(FrameError aError)
{
  switch (aError) {
    case FrameError::Oversized:
      return "oversized_frame";
    case FrameError::BadMac:
      return "bad_mac";
    case FrameError::BadMessage:
      break;
  }
  return "bad_message";
}

struct FrameAuthenticator::Context
{
  EVP_MAC* mac_ = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  EVP_MAC_CTX* context_ = EVP_MAC_CTX_new(mac_);

  ~Context()
  {
    EVP_MAC_CTX_free(context_);
    EVP_MAC_free(mac_);
  }
};

FrameAuthenticator::FrameAuthenticator(std::string_view aKey)
  : context_(std::make_unique<Context>())
{
  std::string digest = "SHA256";
  const std::array<OSSL_PARAM, 2> parameters{ OSSL_PARAM_construct_utf8_string(
                                                OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
                                              OSSL_PARAM_construct_end() };
  EVP_MAC_init(context_->context_,
               reinterpret_cast<const unsigned char*>(aKey.data()),
               aKey.size(),
               parameters.data());
}

FrameAuthenticator::~FrameAuthenticator() = default;
FrameAuthenticator::FrameAuthenticator(FrameAuthenticator&&) noexcept = default;
FrameAuthenticator& FrameAuthenticator::operator=(FrameAuthenticator&&) noexcept = default;

std::string
FrameAuthenticator::Next(std::string_view aPayload)
{
  std::array<unsigned char, kSha256Bytes> digest{};
  std::size_t length = 0;
  // A null key keeps the prepared key state, which saves two hash blocks per frame.
  EVP_MAC_init(context_->context_, nullptr, 0, nullptr);
  EVP_MAC_update(
    context_->context_, reinterpret_cast<const unsigned char*>(&sequence_), sizeof(sequence_));
  EVP_MAC_update(
    context_->context_, reinterpret_cast<const unsigned char*>(aPayload.data()), aPayload.size());
  EVP_MAC_final(context_->context_, digest.data(), &length, digest.size());
  ++sequence_;
  return std::string(reinterpret_cast<const char*>(digest.data()), kFrameMacBytes);
}

FrameEncoder::FrameEncoder(std::string_view aKey, std::uint32_t aAdditions)
  : authenticator_(aKey)
  , additions_(aAdditions)
{
}

void
FrameEncoder::Encode(std::span<const LinkMessage> aMessages, TimePoint aNow, std::string& aTarget)
{
  for (std::size_t next = 0; next < aMessages.size();) {
    const std::size_t begin = aTarget.size();
    AppendLength(aTarget, 0);
    const std::int64_t sentAt = aNow.time_since_epoch().count();
    aTarget.append(reinterpret_cast<const char*>(&sentAt), sizeof(sentAt));
    do {
      EncodeMessage(aMessages[next++], aNow, aTarget, additions_);
    } while (next < aMessages.size() && aTarget.size() - begin < kFrameTargetBytes);
    const std::string_view payload = std::string_view(aTarget).substr(begin + kFrameLengthBytes);
    const auto length = static_cast<std::uint32_t>(payload.size() + kFrameMacBytes);
    aTarget.append(authenticator_.Next(payload));
    std::memcpy(aTarget.data() + begin, &length, sizeof(length));
  }
}

FrameDecoder::FrameDecoder(std::string_view aKey, std::uint32_t aAdditions)
  : authenticator_(aKey)
  , additions_(aAdditions)
{
}

tl::expected<std::vector<LinkMessage>, FrameError>
FrameDecoder::Feed(std::string_view aBytes, TimePoint aNow)
{
  buffer_.append(aBytes);
  longestDelay_ = {};
  std::vector<LinkMessage> messages;
  std::string_view rest = buffer_;
  while (rest.size() >= kFrameLengthBytes) {
    std::uint32_t length = 0;
    std::memcpy(&length, rest.data(), sizeof(length));
    if (length > kMaxFrameBytes || length < kFrameMacBytes) {
      return tl::unexpected(FrameError::Oversized);
    }
    if (rest.size() < kFrameLengthBytes + length) {
      break;
    }
    const auto payload = rest.substr(kFrameLengthBytes, length - kFrameMacBytes);
    const auto mac = rest.substr(kFrameLengthBytes + payload.size(), kFrameMacBytes);
    if (!EqualConstantTime(authenticator_.Next(payload), mac)) {
      return tl::unexpected(FrameError::BadMac);
    }
    if (payload.size() < kFrameTimeBytes) {
      return tl::unexpected(FrameError::BadMessage);
    }
    std::int64_t sentAt = 0;
    std::memcpy(&sentAt, payload.data(), sizeof(sentAt));
    sentAt = std::clamp(sentAt, -kMaxClock, kMaxClock);
    const Duration delay = delay_.OnFrame(TimePoint(Duration(sentAt)), aNow);
    longestDelay_ = std::max(longestDelay_, delay);
    auto decoded = DecodeMessages(payload.substr(kFrameTimeBytes), aNow - delay, additions_);
    if (!decoded) {
      return tl::unexpected(decoded.error());
    }
    std::move(decoded->begin(), decoded->end(), std::back_inserter(messages));
    rest.remove_prefix(kFrameLengthBytes + length);
  }
  buffer_.erase(0, buffer_.size() - rest.size());
  return messages;
}

void
EncodeMessage(const LinkMessage& aMessage,
              TimePoint aNow,
              std::string& aTarget,
              std::uint32_t aAdditions)
{
  WireOutput archive(aTarget, aNow);
  archive(static_cast<std::uint8_t>(aMessage.index()));
  std::visit(
    [&](const auto& aAlternative) {
      archive(aAlternative);
      if constexpr (HasLoad<std::decay_t<decltype(aAlternative)>>) {
        if ((aAdditions & kByteTimes) != 0) {
          archive(aAlternative.load_.byteWaitUs_, aAlternative.load_.byteTimeUs_);
        }
      }
    },
    aMessage);
}

tl::expected<std::vector<LinkMessage>, FrameError>
DecodeMessages(std::string_view aPayload, TimePoint aNow, std::uint32_t aAdditions)
{
  std::vector<LinkMessage> messages;
  try {
    WireInput archive(aPayload, aNow);
    while (archive.Left() > 0) {
      std::uint8_t type = 0;
      archive(type);
      if (type >= kLoaders.size()) {
        return tl::unexpected(FrameError::BadMessage);
      }
      messages.push_back(kLoaders[type](archive, aAdditions));
    }
  } catch (const WireError&) {
    return tl::unexpected(FrameError::BadMessage);
  }
  return messages;
}

} // namespace redwing
