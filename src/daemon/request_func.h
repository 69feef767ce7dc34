#ifndef HICKORYCRANK_DAEMON_REQUEST_FUNC_H
#define HICKORYCRANK_DAEMON_REQUEST_FUNC_H

#include "base/error_type.h"
#include "config/document_type.h"
#include "query/query_type.h"

#include <memory>
#include <string>

namespace hickorycrank::daemon {

/** What a request is built from. */
struct RequestSource {
  std::string RequestId;
  std::shared_ptr<const config::TemplateDoc> Template;
  std::shared_ptr<const config::OrganisationDoc> Organisation;
  std::string Body; ///< The caller's JSON object of parameters.
  base::TimePoint Deadline;
  base::WallTime DeadlineWall; ///< The same moment.
};

/**
 * Binds a caller's parameters.
 * @param Source What the request is built from.
 * @return The request, or what the caller must correct.
 */
base::Result<std::shared_ptr<const query::Request>>
buildRequest(RequestSource Source);

/** @return Wall clock time in whole milliseconds. */
base::WallTime wallNow();

} // namespace hickorycrank::daemon

#endif
