/*
 * burnplot.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (loomctl).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "burnplot.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace Loom {

namespace {

constexpr int sLabelWidth = 260;
constexpr int sBarWidth = 420;
constexpr int sRowHeight = 74;
constexpr int sBarHeight = 12;
constexpr int sTop = 34;
// Burn is drawn on a logarithmic axis from 0.1 to 100.
constexpr double sLeastBurn = 0.1;
constexpr double sDecades = 3;

std::string escaped(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out.push_back(c);
        }
    }
    return out;
}

int xOf(double burn)
{
    const double decades = std::log10(std::max(burn, sLeastBurn) / sLeastBurn);
    return static_cast<int>(std::min(decades / sDecades, 1.0) * sBarWidth);
}

std::string rectangle(int x, int y, int width, std::string_view fill)
{
    return "<rect x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\" width=\""
        + std::to_string(width) + "\" height=\"" + std::to_string(sBarHeight) + "\" fill=\""
        + std::string(fill) + "\"/>\n";
}

std::string label(int x, int y, std::string_view text)
{
    return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\">" + escaped(text)
        + "</text>\n";
}

std::string_view colourOf(double burn)
{
    constexpr double sHigh = 14.4;
    constexpr double sRaised = 1.0;
    if (burn >= sHigh) {
        return "#b3261e";
    }
    return burn >= sRaised ? "#c77700" : "#2e7d32";
}

std::string rowOf(const BurnSeries &series, const MergedBurn &burn, int top)
{
    std::string out = label(8, top + 24, series.service + " / " + series.account);
    for (std::size_t i = 0; i < burn.windows.size(); ++i) {
        const BurnWindow &window = burn.windows[i];
        const int y = top + static_cast<int>(i) * (sBarHeight + 4);
        const int covered = static_cast<int>(window.coverage * sBarWidth);
        out += rectangle(sLabelWidth, y, sBarWidth, "url(#gap)");
        out += rectangle(sLabelWidth, y, covered, "#eeeeee");
        out += rectangle(sLabelWidth, y, xOf(window.burn), colourOf(window.burn));
        const std::string value = std::to_string(window.burn);
        out += label(sLabelWidth + sBarWidth + 8, y + sBarHeight - 2,
                     std::to_string(window.span.count())
                         + " min: " + value.substr(0, value.find('.') + 3));
    }
    return out;
}

} // namespace

std::string burnPlot(const std::map<BurnSeries, MergedBurn> &merged)
{
    const int height = sTop + static_cast<int>(merged.size()) * sRowHeight + 30;
    const int width = sLabelWidth + sBarWidth + 140;
    std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(width)
        + "\" height=\"" + std::to_string(height)
        + "\" font-family=\"sans-serif\" font-size=\"12\">\n"
          "<defs><pattern id=\"gap\" width=\"6\" height=\"6\" patternUnits=\"userSpaceOnUse\">"
          "<path d=\"M0 6L6 0\" stroke=\"#bbbbbb\"/></pattern></defs>\n"
          "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    out += label(8, 20, "Error-budget burn (log scale, 0.1 to 100); hatched: not covered");
    int top = sTop;
    for (const auto &[series, burn] : merged) {
        out += rowOf(series, burn, top);
        top += sRowHeight;
    }
    const int one = sLabelWidth + xOf(1.0);
    out += "<line x1=\"" + std::to_string(one) + "\" x2=\"" + std::to_string(one) + "\" y1=\""
        + std::to_string(sTop) + "\" y2=\"" + std::to_string(top) + "\" stroke=\"black\"/>\n";
    return out + label(one - 4, top + 14, "1") + "</svg>\n";
}

} // namespace Loom
