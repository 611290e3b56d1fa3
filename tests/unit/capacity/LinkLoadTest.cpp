#include "LinkLoad.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace redwing::test;

namespace {

struct Played
{
  LinkLoadResult large_;
  LinkLoadResult small_;
};

Played
Play(LinkLoadSettings aSettings)
{
  LinkLoad load(aSettings);
  load.Run(30s);
  const auto tell = [&](const char* aKind, const LinkLoadResult& aResult) {
    BOOST_TEST_MESSAGE((aSettings.limited_ ? "limited " : "unlimited ")
                       << aKind << ": sent " << aResult.sent_ << ", in time " << aResult.inTime_
                       << ", late " << aResult.late_ << ", refused " << aResult.refused_);
  };
  tell("large", load.large_);
  tell("small", load.small_);
  return { load.large_, load.small_ };
}

} // namespace

// Guards against small responses that wait behind large ones, and large ones that are admitted and
// late, when more bytes are asked for than the links carry.
BOOST_AUTO_TEST_CASE(MoreBytesThanTheLinksCarry)
{
  LinkLoadSettings settings;
  const Played with = Play(settings);
  settings.limited_ = false;
  const Played without = Play(settings);
  BOOST_TEST(with.small_.ShareInTime() > 0.98);
  BOOST_TEST(with.large_.ShareOfAnswered() > 0.95);
  BOOST_TEST(with.large_.ShareInTime() > 0.45);
  BOOST_TEST(with.large_.inTime_ > 2 * without.large_.inTime_);
  BOOST_TEST(without.small_.ShareInTime() < 0.5);
}

// Guards against bounds that fit one size of response or fleet only.
BOOST_AUTO_TEST_CASE(TenTimesTheSize)
{
  LinkLoadSettings settings;
  settings.bitsPerSecond_ *= 10;
  settings.meanBytes_ *= 10;
  settings.mostBytes_ *= 10;
  const Played large = Play(settings);
  BOOST_TEST(large.small_.ShareInTime() > 0.98);
  BOOST_TEST(large.large_.ShareOfAnswered() > 0.95);
  settings = {};
  settings.links_ *= 10;
  settings.largePerSecond_ *= 10;
  settings.smallPerSecond_ *= 10;
  const Played many = Play(settings);
  BOOST_TEST(many.small_.ShareInTime() > 0.98);
  BOOST_TEST(many.large_.ShareOfAnswered() > 0.95);
}

// Guards against trust in the stated capacity of a link that is half as fast.
BOOST_AUTO_TEST_CASE(OneLinkIsHalfAsFast)
{
  LinkLoadSettings settings;
  settings.firstLink_ = 0.5;
  const Played load = Play(settings);
  BOOST_TEST(load.small_.ShareInTime() > 0.95);
  BOOST_TEST(load.large_.ShareOfAnswered() > 0.93);
}

// Guards against readers that stop and keep the room of the link, or count as a slow link.
BOOST_AUTO_TEST_CASE(ReadersThatStop)
{
  LinkLoadSettings settings;
  settings.stoppedOneOf_ = 20;
  const Played load = Play(settings);
  BOOST_TEST(load.small_.ShareInTime() > 0.98);
  BOOST_TEST(load.large_.ShareOfAnswered() > 0.95);
  BOOST_TEST(load.large_.ShareInTime() > 0.42);
}

// Guards against a restriction where nothing is short.
BOOST_AUTO_TEST_CASE(LittleLoadIsNotRefused)
{
  LinkLoadSettings settings;
  settings.largePerSecond_ = 30;
  const Played load = Play(settings);
  BOOST_TEST(load.large_.refused_ == 0U);
  BOOST_TEST(load.large_.ShareInTime() > 0.97);
}
