#include "daemon/request_func.h"

#include "config/binding_func.h"

#include <utility>

namespace hickorycrank::daemon {

base::Result<std::shared_ptr<const query::Request>>
buildRequest(RequestSource Source) {
  auto Bound = config::bindParameters(*Source.Template, *Source.Organisation,
                                      Source.Body);
  if (Bound.has_error()) {
    return Bound.error();
  }
  auto Built = std::make_shared<query::Request>();
  Built->RequestId = std::move(Source.RequestId);
  Built->Template = std::move(Source.Template);
  Built->Organisation = std::move(Source.Organisation);
  Built->Parameters = std::move(Bound.value());
  Built->Deadline = Source.Deadline;
  Built->DeadlineWall = Source.DeadlineWall;
  return std::shared_ptr<const query::Request>(std::move(Built));
}

base::WallTime wallClockNow() {
  return std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace hickorycrank::daemon
