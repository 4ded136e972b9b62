"""Fits curves to measured costs and chooses among them by their error."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy

from petrelhall.capacity.records import Curve

# A simpler curve is preferred while its error is at most this much above the least error of all curves.
TOLERATED_FACTOR = 1.25
TOLERATED_ERROR = 0.02
LEAST_SIZES_OF_A_QUADRATIC = 5  # three coefficients through four points would fit anything
LEAST_SHARE = 1e-9  # of the largest value: keeps a weight finite where a value is 0


@dataclass(frozen=True)
class Fit:
    """A curve with its coefficients and its largest relative residual at a measured size."""

    curve: Curve
    coefficients: tuple[float, ...]
    error: float


def columns(curve: Curve, sizes: numpy.ndarray) -> numpy.ndarray:
    """Give the design matrix of a curve that is linear in its coefficients."""
    ones = numpy.ones_like(sizes)
    if curve is Curve.CONSTANT:
        return numpy.stack([ones], axis=1)
    if curve is Curve.LINEAR:
        return numpy.stack([ones, sizes], axis=1)
    if curve is Curve.LOGARITHMIC:
        return numpy.stack([ones, numpy.log(sizes)], axis=1)
    return numpy.stack([ones, sizes, sizes**2], axis=1)


def relative_error(fitted: numpy.ndarray, values: numpy.ndarray) -> float:
    """Give the largest residual relative to its measured value."""
    floor = LEAST_SHARE * max(1.0, float(numpy.abs(values).max()))
    return float((numpy.abs(fitted - values) / numpy.maximum(numpy.abs(values), floor)).max())


def fit_curve(curve: Curve, sizes: numpy.ndarray, values: numpy.ndarray) -> Fit | None:
    """Fit one curve by least squares of the relative residuals; None where the curve cannot describe the values."""
    if curve is Curve.POWER:
        if (values <= 0.0).any():
            return None
        exponent, logarithm = numpy.polyfit(numpy.log(sizes), numpy.log(values), 1)
        coefficients = numpy.array([numpy.exp(logarithm), exponent])
        fitted = coefficients[0] * sizes**exponent
        return Fit(curve, tuple(map(float, coefficients)), relative_error(fitted, values))
    if curve is Curve.QUADRATIC and len(sizes) < LEAST_SIZES_OF_A_QUADRATIC:
        return None
    matrix = columns(curve, sizes)
    floor = LEAST_SHARE * max(1.0, float(numpy.abs(values).max()))
    weights = 1.0 / numpy.maximum(numpy.abs(values), floor)
    coefficients, *_ = numpy.linalg.lstsq(matrix * weights[:, None], values * weights, rcond=None)
    if curve is Curve.QUADRATIC and coefficients[2] < 0.0:
        return None  # it would fall again beyond the measured sizes
    return Fit(curve, tuple(map(float, coefficients)), relative_error(matrix @ coefficients, values))


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit all curves, and give the simplest one whose error is close to the least."""
    at, costs = numpy.asarray(sizes, dtype=float), numpy.asarray(values, dtype=float)
    order = (Curve.CONSTANT, Curve.LINEAR, Curve.LOGARITHMIC, Curve.POWER, Curve.QUADRATIC)
    fits = [found for curve in order if (found := fit_curve(curve, at, costs)) is not None]
    least = min(found.error for found in fits)
    return next(found for found in fits if found.error <= TOLERATED_FACTOR * least + TOLERATED_ERROR)
