#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Messages between an instance that needs tokens of a workspace and the owner of its bucket.
namespace redwing {

/// Asks for tokens. The granted tokens may be used until the time at which this request was sent
/// plus the reply's time to live.
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
  /// False if the replying instance does not own the bucket. The tokens and times below are then
  /// meaningless.
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

/// Closes a slice that is used up or idle. The sender does not use its remaining tokens any more.
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

/// Outstanding slice of a bucket that changes its owner.
struct OpenSlice
{
  std::string instance_;
  std::uint64_t requestId_ = 0;
  double tokens_ = 0;
  /// Remaining time to live. The receiver counts it from the arrival of the message, so the slice
  /// expires later there than at its holder, which is safe.
  std::uint32_t remainingMs_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(instance_, requestId_, tokens_, remainingMs_);
  }
};

/// State of one bucket, sent by its owner after it has stopped granting tokens.
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
