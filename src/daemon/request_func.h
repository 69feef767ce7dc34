#ifndef HICKORYCRANK_DAEMON_REQUEST_FUNC_H
#define HICKORYCRANK_DAEMON_REQUEST_FUNC_H

#include "base/error_type.h"
#include "config/document_type.h"
#include "query/query_type.h"

#include <memory>
#include <string>

namespace hickorycrank::daemon {

/** Input of buildRequest(). */
struct RequestSource {
  std::string RequestId;
  std::shared_ptr<const config::TemplateDoc> Template;
  std::shared_ptr<const config::OrganisationDoc> Organisation;
  std::string Body; ///< The caller's JSON object of parameters.
  base::TimePoint Deadline;
  base::WallTime DeadlineWall; ///< Deadline as wall clock time.
};

/**
 * Binds a caller's parameters to a template.
 * @param Source The template, the parameters and the deadline.
 * @return The request, or an error that tells the caller what to correct.
 */
base::Result<std::shared_ptr<const query::Request>>
buildRequest(RequestSource Source);

/** @return Wall clock time in whole milliseconds. */
base::WallTime wallClockNow();

} // namespace hickorycrank::daemon

#endif
