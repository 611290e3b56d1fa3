#include "fleet/LeaderContacts.hpp"

#include <algorithm>

namespace redwing {

LeaderContacts::LeaderContacts(WindowBudgetSettings aSettings)
  : settings_(aSettings)
{
}

void
LeaderContacts::Reset()
{
  contacts_.clear();
}

bool
LeaderContacts::OnReport(const std::string& aInstanceId,
                         std::uint64_t aIncarnation,
                         std::uint64_t aSequence,
                         bool aInContactWithLeader,
                         TimePoint aNow)
{
  Contact& contact = contacts_[aInstanceId];
  if (contact.incarnation_ == aIncarnation && aSequence <= contact.sequence_) {
    return false;
  }
  contact = { aIncarnation, aSequence, aNow, aInContactWithLeader };
  return true;
}

void
LeaderContacts::OnMemberRemoved(const std::string& aInstanceId, TimePoint aNow)
{
  gone_[aInstanceId] = aNow;
}

bool
LeaderContacts::InContact(const std::string& aInstanceId, TimePoint aNow) const
{
  const auto contact = contacts_.find(aInstanceId);
  return contact != contacts_.end() && contact->second.inContactWithLeader_ &&
         aNow - contact->second.reportedAt_ < settings_.disconnectedAfter_;
}

std::size_t
LeaderContacts::CountOutOfContact(const std::set<std::string>& aMembers, TimePoint aNow)
{
  std::erase_if(gone_, [&](const auto& aGone) {
    return aNow - aGone.second >= settings_.fallbackEndsAfter_ || aMembers.contains(aGone.first);
  });
  const auto members = std::count_if(
    aMembers.begin(), aMembers.end(), [&](const auto& aId) { return !InContact(aId, aNow); });
  const auto gone = std::count_if(
    gone_.begin(), gone_.end(), [&](const auto& aGone) { return !InContact(aGone.first, aNow); });
  return static_cast<std::size_t>(members + gone);
}

} // namespace redwing
