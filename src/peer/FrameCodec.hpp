#pragma once

#include "core/Clock.hpp"
#include "peer/Handshake.hpp"
#include "peer/LinkMessage.hpp"
#include "peer/TransitDelay.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

/// Largest frame on a link, without its length prefix.
constexpr std::size_t kMaxFrameBytes = 1024 * 1024;
/// A frame is closed when its messages reach this size, so that one body part more still fits.
constexpr std::size_t kFrameTargetBytes = 256 * 1024;
constexpr std::size_t kFrameLengthBytes = 4;
/// Truncated HMAC-SHA-256 at the end of each frame.
constexpr std::size_t kFrameMacBytes = 16;
constexpr std::size_t kFrameTimeBytes = 8;

enum class FrameError : std::uint8_t
{
  Oversized,
  BadMac,
  BadMessage,
};

/// Returns the name of aError for log lines.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string_view ToText(FrameError aError);

/// Computes the MAC of successive frames of one direction. The sequence number is covered, so a
/// frame can't be replayed, dropped or reordered.
class FrameAuthenticator
{
public:
  explicit FrameAuthenticator(std::string_view aKey);
  ~FrameAuthenticator();
  FrameAuthenticator(FrameAuthenticator&&) noexcept;
  FrameAuthenticator& operator=(FrameAuthenticator&&) noexcept;

  /// Returns the MAC of the next frame.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::string Next(std::string_view aPayload);

private:
  struct Context;
  std::unique_ptr<Context> context_;
  std::uint64_t sequence_ = 0;
};

/// Encodes messages into frames: length (4 bytes, little-endian), time of sending (8 bytes),
/// messages (type byte and cereal body each), MAC over sequence number, time and messages. One MAC
/// covers all messages of a frame.
class FrameEncoder
{
public:
  /// aAdditions: the additions that the receiver reads.
  explicit FrameEncoder(std::string_view aKey, std::uint32_t aAdditions = kNoAdditions);

  /// Appends frames holding aMessages in order to aTarget.
  ///
  /// Preconditions: each message fits in a frame. Thread safety: not thread-safe.
  void Encode(std::span<const LinkMessage> aMessages, TimePoint aNow, std::string& aTarget);

private:
  FrameAuthenticator authenticator_;
  std::uint32_t additions_;
};

/// Splits received bytes into frames and decodes their messages. Deadlines travel as remaining
/// time, from which the delay of the frame on its way is taken off.
class FrameDecoder
{
public:
  /// aAdditions: the additions that the sender writes.
  explicit FrameDecoder(std::string_view aKey, std::uint32_t aAdditions = kNoAdditions);

  /// Adds aBytes and returns the messages of all complete frames. After an error the connection
  /// must be closed.
  ///
  /// Preconditions: no earlier call returned an error. Thread safety: not thread-safe.
  tl::expected<std::vector<LinkMessage>, FrameError> Feed(std::string_view aBytes, TimePoint aNow);

  /// Returns the longest delay among the frames of the last call of Feed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration LongestDelay() const { return longestDelay_; }

private:
  FrameAuthenticator authenticator_;
  std::uint32_t additions_;
  TransitDelay delay_;
  Duration longestDelay_{};
  std::string buffer_;
};

/// Appends the type byte and body of aMessage to aTarget, with aAdditions at the end of the
/// messages that have them.
///
/// Preconditions: none. Thread safety: callable from any thread.
void EncodeMessage(const LinkMessage& aMessage,
                   TimePoint aNow,
                   std::string& aTarget,
                   std::uint32_t aAdditions = kNoAdditions);

/// Decodes the messages of one frame from untrusted bytes; also the entry point for fuzzing.
/// Fields of additions that the sender does not write keep their default.
///
/// Preconditions: none. Thread safety: callable from any thread.
tl::expected<std::vector<LinkMessage>, FrameError>
DecodeMessages(std::string_view aPayload, TimePoint aNow, std::uint32_t aAdditions = kNoAdditions);

} // namespace redwing
