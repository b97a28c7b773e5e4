#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace rosemaryshift::balancing {

/// Recursive least squares with exponential forgetting: fits the coefficients of a linear function to samples that arrive one after the other.
/// Coefficients are not negative. Not thread-safe.
template <std::size_t N>
class LeastSquares
{
public:
    using Vector = std::array<double, N>;

    /// @p deviations: how far each coefficient may be expected to lie from @p initial. @p forgetting: weight of a sample relative to the next one.
    LeastSquares(const Vector &initial, const Vector &deviations, double forgetting)
        : m_coefficients(initial)
        , m_maxVariances(deviations)
        , m_forgetting(forgetting)
    {
        for (std::size_t row = 0; row < N; ++row) {
            m_maxVariances[row] *= deviations[row];
            m_covariance[row][row] = m_maxVariances[row];
        }
    }

    [[nodiscard]] double value(const Vector &inputs) const
    {
        double sum = 0;
        for (std::size_t index = 0; index < N; ++index) {
            sum += m_coefficients[index] * inputs[index];
        }
        return sum;
    }

    [[nodiscard]] const Vector &coefficients() const
    {
        return m_coefficients;
    }

    /// Adds a sample, whose error is taken to be at most @p maxError.
    void add(const Vector &inputs, double result, double maxError)
    {
        Vector gain{};
        double variance = m_forgetting;
        for (std::size_t row = 0; row < N; ++row) {
            for (std::size_t column = 0; column < N; ++column) {
                gain[row] += m_covariance[row][column] * inputs[column];
            }
            variance += gain[row] * inputs[row];
        }
        const double error = std::clamp(result - value(inputs), -maxError, maxError);
        for (std::size_t row = 0; row < N; ++row) {
            m_coefficients[row] = std::max(0.0, m_coefficients[row] + gain[row] / variance * error);
            for (std::size_t column = 0; column < N; ++column) {
                m_covariance[row][column] -= gain[row] * gain[column] / variance;
            }
        }
        forget();
    }

private:
    /// Widens the covariance; not beyond the initial one, which it would exceed without end in directions that no sample has.
    void forget()
    {
        for (std::size_t index = 0; index < N; ++index) {
            if (m_covariance[index][index] / m_forgetting > m_maxVariances[index]) {
                return;
            }
        }
        for (Vector &row : m_covariance) {
            for (double &value : row) {
                value /= m_forgetting;
            }
        }
    }

    Vector m_coefficients;
    Vector m_maxVariances;
    double m_forgetting;
    std::array<Vector, N> m_covariance{};
};

}
