#pragma once

#include "core/Clock.hpp"
#include "limits/WindowBudget.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace redwing {

/// Tracks which instances the leader is in contact with. An instance without contact uses a fixed
/// share of each allowance, which the leader must not lend to others. This also applies to
/// instances that are no longer members: an instance that is cut off from the store loses its
/// membership but keeps serving.
class LeaderContacts
{
public:
  explicit LeaderContacts(WindowBudgetSettings aSettings);

  /// Discards all reports at the start of a term of leadership. Removed members are kept.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  void Reset();

  /// Records a report; returns false if the same process has already sent a newer one.
  bool OnReport(const std::string& aInstanceId,
                std::uint64_t aIncarnation,
                std::uint64_t aSequence,
                bool aInContactWithLeader,
                TimePoint aNow);

  /// Records that the member's entry was removed from the store.
  void OnMemberRemoved(const std::string& aInstanceId, TimePoint aNow);

  /// Returns how many of aMembers and of the recently removed members may be using their fixed
  /// shares because they are not in contact with the leader.
  std::size_t CountOutOfContact(const std::set<std::string>& aMembers, TimePoint aNow);

private:
  struct Contact
  {
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    TimePoint reportedAt_{};
    bool inContactWithLeader_ = false;
  };

  bool InContact(const std::string& aInstanceId, TimePoint aNow) const;

  WindowBudgetSettings settings_;
  std::map<std::string, Contact> contacts_;
  std::map<std::string, TimePoint> gone_;
};

} // namespace redwing
