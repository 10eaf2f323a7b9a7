# Draws the decisions' curves; `folder` holds the data and takes the pictures.
set terminal svg size 720,480 font "sans,12"
set grid

set output folder.'/cost.svg'
set title "Cost against quality (mostly easy requests)"
set xlabel "delivered quality"
set ylabel "cost, in always best's"
set key top left
plot folder.'/cost.dat' using 2:3 with linespoints title "learned cascade", \
     '' using 4:5 with linespoints title "informed oracle"

set output folder.'/exposure.svg'
set title "Exposure against false alarms"
set xlabel "false-alarm rate"
set ylabel "requests on the bad version"
set logscale x
set key top right
plot folder.'/exposure.dat' using 1:2 with linespoints title "20 points worse", \
     '' using 1:3 with linespoints title "5% errors"
