/*
 * callquarantine.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callquarantine.h"

#include "callstate.h"
#include "replicaattempt.h"
#include "requestdigest.h"

#include <utility>

namespace Loom {

CallQuarantine::CallQuarantine(const CallState &call)
    : mCall(call)
{
}

const std::vector<QuarantineSubject> &CallQuarantine::subjects()
{
    if (mSubjects.empty()) {
        const HttpRequest &request = mCall.exchange.request();
        mSubjects = partSubjects();
        mSubjects.insert(mSubjects.begin(),
                         RequestDigest::of(mCall.account, request.target, request.body));
    }
    return mSubjects;
}

std::vector<QuarantineSubject> CallQuarantine::partSubjects() const
{
    std::vector<QuarantineSubject> parts;
    for (const std::string &id : mCall.caller.sharedParts) {
        parts.emplace_back(PromptPart{mCall.serviceName, id});
    }
    return parts;
}

std::optional<QuarantineRefusal> CallQuarantine::refusal()
{
    if (mCall.parts.quarantine.isEmpty()) {
        return std::nullopt;
    }
    auto refusal = mCall.parts.quarantine.refusal(subjects());
    if (refusal) {
        mRefusedSubject = refusal->subject;
    }
    return refusal;
}

// Two replicas crashed while executing this request, or requests with a part of its prompt. A
// retry within the same call could crash a third one, with all requests that run there.
bool CallQuarantine::isRetryForbidden()
{
    const QuarantineService &quarantine = mCall.parts.quarantine;
    return !quarantine.isEmpty() && quarantine.isRetryForbidden(subjects());
}

void CallQuarantine::noteSent()
{
    mIsPromptSound = false;
    if (!mCall.parts.quarantine.isEmpty()) {
        mCall.parts.quarantine.noteSent(subjects());
    }
}

void CallQuarantine::noteWriting(const ReplicaAttempt &attempt)
{
    if (attempt.hasRunForLong() && !std::exchange(mIsPromptSound, true)) {
        mCall.parts.quarantine.noteSuccess(partSubjects());
    }
}

void CallQuarantine::noteSuccess()
{
    const bool isAnySuspected = !mCall.parts.quarantine.isEmpty();
    mCall.parts.quarantine.noteSuccess(isAnySuspected ? subjects() : partSubjects());
}

// A replica that has been writing an answer for long does not end because of its prompt.
awaitable<void> CallQuarantine::noteConnectionLost(const ReplicaAttempt &attempt)
{
    LostRun run{mCall.caller.id, subjects(), mCall.account, attempt.incarnation()};
    if (attempt.hasRunForLong()) {
        std::erase_if(run.subjects, [](const QuarantineSubject &subject) {
            return std::holds_alternative<PromptPart>(subject);
        });
    }
    co_await mCall.parts.quarantine.noteConnectionLost(std::move(run));
}

std::string CallQuarantine::requestText() const
{
    return mSubjects.empty() ? std::string() : subjectText(mSubjects.front());
}

std::string CallQuarantine::refusedSubjectText() const
{
    return mRefusedSubject ? subjectText(*mRefusedSubject) : std::string();
}

} // namespace Loom
