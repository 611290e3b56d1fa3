#include "rollout/RolloutTypes.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

BOOST_AUTO_TEST_SUITE(RolloutNames)

// Guards against a phase that a later leader reads as another one.
BOOST_AUTO_TEST_CASE(PhasesAreReadAsTheyAreWritten)
{
  for (const RolloutPhase phase : { RolloutPhase::Waiting,
                                    RolloutPhase::Canary,
                                    RolloutPhase::Ramp,
                                    RolloutPhase::Closing,
                                    RolloutPhase::Completed,
                                    RolloutPhase::RolledBack }) {
    BOOST_CHECK(PhaseOf(NameOf(phase)) == phase);
  }
  BOOST_CHECK(!PhaseOf("running"));
}

BOOST_AUTO_TEST_SUITE_END()
