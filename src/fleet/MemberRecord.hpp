#pragma once

#include "routing/RoutingView.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace redwing {

/// The entry in the store in which an instance publishes itself and its local backend server.
struct MemberRecord
{
  Member member_;
  /// Incarnation of the backend server that may hold shards; empty once it certainly holds none.
  std::string serverIncarnation_;
  /// Epoch of the store in which the record was written; the store may have come back from an older
  /// copy since. 0 in records of builds that did not write it.
  std::uint64_t epoch_ = 0;
  /// The process was a member in an earlier epoch, so that it may know of lost writes.
  bool carried_ = false;
  /// Maximum time for which the process grants shards after a heartbeat, by the slowest clock; 0 if
  /// the record does not tell, as those of earlier builds.
  std::chrono::milliseconds longestHold_{ 0 };
  /// Processors that the instance may use, in parts of one; 0 if unknown.
  double processors_ = 0;

  /// Parses the stored form; returns an error message if it is invalid.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static tl::expected<MemberRecord, std::string> Parse(std::string_view aText);

  /// Returns the stored form.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::string ToText() const;

  /// Returns whether the server accepts new shards and requests.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool Accepts() const;
};

} // namespace redwing
