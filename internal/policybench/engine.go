package policybench

// slotsPerTarget is the number of streams a modelled target runs well.
const slotsPerTarget = 16
