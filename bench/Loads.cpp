#include "Loads.hpp"

namespace redwing::bench {

void
DenseLoad(Json& aPlan, double)
{
  aPlan["rate"] = 1500;
  for (auto& request : aPlan["requests"]) {
    request["keys"] = 400;
    request["zipf"] = 0.5;
  }
}

void
WritesWithResend(Json& aPlan, double aSeconds)
{
  DenseLoad(aPlan, aSeconds);
  Json write = aPlan["requests"][1];
  write["resend"] = 3;
  aPlan["requests"] = Json::array({ write });
}

void
PooledOnly(Json& aPlan, double)
{
  aPlan["rate"] = 1000;
  aPlan["requests"] = Json::array({ aPlan["requests"][2] });
}

void
LimitTwoWorkspaces(Deployment& aDeployment, Marks& aMarks)
{
  double weights = 0;
  for (const auto& workspace : aDeployment.workspaces_) {
    weights += workspace.weight_;
  }
  auto offered = [&](std::size_t aIndex) {
    return aDeployment.rate_ * aDeployment.workspaces_[aIndex].weight_ / weights;
  };
  aDeployment.workspaces_[0].rate_ = offered(0) / 3;
  aDeployment.workspaces_[0].burst_ = 20;
  aDeployment.workspaces_[1].rate_ = offered(1) / 0.9;
  aDeployment.workspaces_[1].burst_ = offered(1) / 2;
  aMarks.limited_ = { "ws0", "ws1" };
  aMarks.exempt_ = { "ws0" };
}

} // namespace redwing::bench
