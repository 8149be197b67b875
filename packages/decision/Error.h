#pragma once

#include "NameTable.h"

#include <cstdint>
#include <ostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <tl/expected.hpp>

namespace bilberryfield {

/** The operation during which an error occurred. */
enum class Step : uint8_t
{
  ReadSettings,
  ReadServiceFile,
  OpenToken,
  DecodeMessage,
  CallPlatform,
  Publish,
  Listen,
  StartProgram,
  CallDaemon,
};

inline constexpr NameTable<Step, 9> kStepNames = { {
  { Step::ReadSettings, "read-settings" },
  { Step::ReadServiceFile, "read-service-file" },
  { Step::OpenToken, "open-token" },
  { Step::DecodeMessage, "decode-message" },
  { Step::CallPlatform, "call-platform" },
  { Step::Publish, "publish" },
  { Step::Listen, "listen" },
  { Step::StartProgram, "start-program" },
  { Step::CallDaemon, "call-daemon" },
} };

/** An error with the failed step and the peer: a process, file or URL. */
struct StepError
{
  Step m_step;
  std::string m_peer;
  std::string m_detail;
};

inline std::ostream&
operator<<(std::ostream& aStream, const StepError& aError)
{
  return aStream << NameOf(kStepNames, aError.m_step) << " at " << aError.m_peer
                 << ": " << aError.m_detail;
}

/** A value, or the error that prevented it. */
template<typename Value>
using Result = tl::expected<Value, StepError>;

/** Builds the error value that a function with a Result returns. */
inline tl::unexpected<StepError>
Failure(Step aStep, std::string aPeer, std::string aDetail)
{
  return tl::unexpected(
    StepError{ aStep, std::move(aPeer), std::move(aDetail) });
}

/** A violated invariant: a bug in the program, not an invalid input. */
class InternalError : public std::logic_error
{
  using std::logic_error::logic_error;
};

// NOLINTBEGIN(bugprone-macro-parentheses): aValues is a chain of <<.
/** Throws InternalError with the streamed values if the condition is false. */
#define BILBERRY_ASSERT(aCondition, aValues)                                   \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      std::ostringstream stream;                                               \
      stream << "internal error: " #aCondition " at " << __FILE__ << ":"       \
             << __LINE__ << ": " << aValues;                                   \
      throw ::bilberryfield::InternalError(stream.str());                      \
    }                                                                          \
  } while (false)
// NOLINTEND(bugprone-macro-parentheses)

} // namespace bilberryfield
