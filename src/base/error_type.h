#ifndef HICKORYCRANK_BASE_ERROR_TYPE_H
#define HICKORYCRANK_BASE_ERROR_TYPE_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace hickorycrank::base {

/** Kinds of errors that are not refusals of a caller's request. */
enum class ErrorKind {
  BadSyntax,    ///< A document or message cannot be parsed.
  UnknownKey,   ///< A key is not known; it may be misspelt.
  MissingKey,   ///< A required key is absent.
  WrongType,    ///< A value has another type than declared.
  OutOfRange,   ///< A value is outside its declared range.
  Inconsistent, ///< Two values or documents contradict each other.
  TooLarge,     ///< A value exceeds a size limit.
  NotFound,     ///< A file, key or peer does not exist.
  Unreachable,  ///< A connection failed or timed out.
  Protocol,     ///< A peer sent something outside its protocol.
  Unauthorised, ///< A credential or message digest does not match.
  Stale,        ///< A revision is not newer than the one in force.
};

/** An error with the text that tells an operator what to do. */
struct Error {
  ErrorKind Kind = ErrorKind::BadSyntax; ///< For programs.
  std::string Message;                   ///< For people; names the remedy.
};

/** Value or Error; access to the wrong one terminates the process. */
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/**
 * Names an error kind in logs and reports.
 * @param Kind The kind.
 * @return Stable lower-case name.
 */
inline const char *toString(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::BadSyntax:
    return "bad_syntax";
  case ErrorKind::UnknownKey:
    return "unknown_key";
  case ErrorKind::MissingKey:
    return "missing_key";
  case ErrorKind::WrongType:
    return "wrong_type";
  case ErrorKind::OutOfRange:
    return "out_of_range";
  case ErrorKind::Inconsistent:
    return "inconsistent";
  case ErrorKind::TooLarge:
    return "too_large";
  case ErrorKind::NotFound:
    return "not_found";
  case ErrorKind::Unreachable:
    return "unreachable";
  case ErrorKind::Protocol:
    return "protocol";
  case ErrorKind::Unauthorised:
    return "unauthorised";
  case ErrorKind::Stale:
    return "stale";
  }
  return "unknown";
}

} // namespace hickorycrank::base

#endif
