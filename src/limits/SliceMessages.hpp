#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Messages between an instance that needs tokens of a workspace and the owner of its bucket.
namespace redwing {

/// Asks for tokens. The reply's tokens may be used until the sending time of this request plus the
/// reply's time to live.
struct SliceRequest
{
  std::string workspace_;
  /// Chosen by the sender; increases with each request.
  std::uint64_t requestId_ = 0;
  std::uint32_t tokens_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(workspace_, requestId_, tokens_);
  }
};

struct SliceReply
{
  std::string workspace_;
  std::uint64_t requestId_ = 0;
  /// False when the receiver does not own the bucket; then the other fields have no meaning.
  bool owner_ = true;
  std::uint32_t tokens_ = 0;
  std::uint32_t timeToLiveMs_ = 0;
  /// Time until the bucket is expected to hold a token again; 0 when tokens were granted.
  std::uint32_t retryAfterMs_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(workspace_, requestId_, owner_, tokens_, timeToLiveMs_, retryAfterMs_);
  }
};

/// Closes a slice that is used up or idle: its remaining tokens will not be used by the sender.
struct SliceReport
{
  std::string workspace_;
  std::uint64_t requestId_ = 0;
  std::uint32_t unused_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(workspace_, requestId_, unused_);
  }
};

/// A slice that may still be used, as part of a bucket that changes its owner.
struct OpenSlice
{
  std::string instance_;
  std::uint64_t requestId_ = 0;
  double tokens_ = 0;
  /// Counted by the receiver from the arrival, which is later than true and therefore safe.
  std::uint32_t remainingMs_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(instance_, requestId_, tokens_, remainingMs_);
  }
};

/// State of one bucket, sent by its owner after it stopped to grant.
struct BucketState
{
  std::string workspace_;
  double level_ = 0;
  std::vector<OpenSlice> slices_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(workspace_, level_, slices_);
  }
};

} // namespace redwing
