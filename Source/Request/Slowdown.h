#pragma once

namespace poplardock {

/// Estimates of an upstream's slowdown: the factor by which work there takes longer than usual (1: as usual). An upstream
/// states it as an instantaneous value, which changes several times a second. Pure functions; thread-safe.
namespace Slowdown {

/// The slowdown expected "ageMs" milliseconds after the upstream stated "stated". It approaches "mean", the mean of what this
/// upstream has stated, with the age.
auto expectedAfter(double stated, double mean, double ageMs) -> double;

/// Mean of the slowdown expected over the next "durationMs" milliseconds, when "current" is expected now. "current"
/// itself for a duration of 0.
auto meanOver(double current, double mean, double durationMs) -> double;

/// The mean after a new statement that came "sinceLastMs" milliseconds after the last one. Statements in quick succession describe
/// the same slow phase and count for less.
auto meanAfter(double mean, double stated, double sinceLastMs) -> double;

/// Time that work of "usualMs" milliseconds takes under the slowdown expected from now on, in milliseconds.
auto durationOf(double usualMs, double current, double mean) -> double;

/// The usual time of work that took "measuredMs" milliseconds. "stated" is the slowdown stated when the work began.
auto usualTimeOf(double measuredMs, double stated, double mean) -> double;

} // namespace Slowdown

} // namespace poplardock
