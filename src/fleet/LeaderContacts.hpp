#pragma once

#include "core/Clock.hpp"
#include "limits/WindowBudget.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace redwing {

/// Which instances the leader is in contact with. An instance that does not hear the leader uses a
/// fixed share of each allowance, so the leader must not lend that share, also if the instance is
/// no member any more: one that is cut off from the store loses its membership and goes on serving.
class LeaderContacts
{
public:
  explicit LeaderContacts(WindowBudgetSettings aSettings);

  /// Forgets all reports, at the begin of a leadership. Members that are gone stay known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  void Reset();

  /// Takes a report; returns false if it is older than another one of the same process.
  bool OnReport(const std::string& aInstanceId,
                std::uint64_t aIncarnation,
                std::uint64_t aSequence,
                bool aHearsLeader,
                TimePoint aNow);

  /// A member is gone from the store.
  void OnGone(const std::string& aInstanceId, TimePoint aNow);

  /// Returns how many of aMembers, and of the members that went lately, may be using their fixed
  /// shares.
  std::size_t Unheard(const std::set<std::string>& aMembers, TimePoint aNow);

private:
  struct Contact
  {
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    TimePoint reportedAt_{};
    bool hearsLeader_ = false;
  };

  bool Hears(const std::string& aInstanceId, TimePoint aNow) const;

  WindowBudgetSettings settings_;
  std::map<std::string, Contact> contacts_;
  std::map<std::string, TimePoint> gone_;
};

} // namespace redwing
